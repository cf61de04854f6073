"""``zinniadyke check``."""

from cleo.commands.command import Command
from cleo.helpers import argument

from zinniadyke import control
from zinniadyke import errors
from zinniadyke import language
from zinniadyke import objects
from zinniadyke import operators
from zinniadyke import settings

SETTINGS_SUFFIX = ".toml"
# Describes the users' platform; its templates are checked with it.
DEPLOYMENT_FILE = "system.toml"


class CheckCommand(Command):
    """Checks settings and declarations without starting a process."""

    name = "check"
    description = (
        "Checks settings (.toml), declarations (.zd), deploy/system.toml."
    )
    arguments = [argument("files", "Files or directories.", multiple=True)]

    def handle(self) -> int:
        """Run the command."""
        failed = 0
        changes: list[control.Change] = []
        for path in operators.declaration_files(self.argument("files")):
            try:
                if path.name == DEPLOYMENT_FILE:
                    settings.check_deployment(path)
                elif path.suffix == SETTINGS_SUFFIX:
                    settings.load(str(path))
                else:
                    changes += _parse_changes(path)
                self.line(f"{path}: ok")
            except errors.UserError as error:
                failed += 1
                self.line_error(error.message)
        try:
            control.plan_changes(objects.Configuration(), changes)
        except errors.UserError as error:
            failed += 1
            self.line_error(error.message)
        return 1 if failed else 0


def _parse_changes(path) -> list[control.Change]:
    text = operators.read_text(path)
    statements = language.parse(text, file=str(path))
    return language.to_changes(
        statements, objects.Configuration(), file=str(path)
    )
