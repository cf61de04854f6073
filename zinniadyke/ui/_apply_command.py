"""``zinniadyke plan`` and ``zinniadyke apply``."""

import getpass

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import language
from zinniadyke import operators

EXIT_DIFFERENCE = 2

CONNECTION_OPTIONS = [
    option("entry", None, "Base URL of an entry.", flag=False),
    option("token-file", None, "File with the token.", flag=False),
]
FILES = [argument("files", "Declarations or directories.", multiple=True)]


class PlanCommand(Command):
    """Prints what ``apply`` would change; exit code 2 if anything."""

    name = "plan"
    description = "Shows what apply would change."
    arguments = FILES
    options = CONNECTION_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        text = _read_declarations(self.argument("files"))
        lines = client_from_options(self).send("plan", text)["lines"]
        for line in lines:
            self.line(line)
        if not lines:
            self.line("no difference")
        return EXIT_DIFFERENCE if lines else 0


class ApplyCommand(Command):
    """Applies declarations as one change of the configuration."""

    name = "apply"
    description = "Applies declarations, all or nothing."
    arguments = FILES
    options = [
        *CONNECTION_OPTIONS,
        option("change-id", None, "Id of an earlier try.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        text = _read_declarations(self.argument("files"))
        change_id = self.option("change-id") or ids.new_change_id()
        options = {"change_id": change_id, "author": getpass.getuser()}
        try:
            accepted = client_from_options(self).send("apply", text, options)
        except errors.UnknownOutcomeError as error:
            raise errors.UnknownOutcomeError(
                f"{error.message}; the outcome is unknown, run the command"
                f" again with --change-id {change_id}"
            )
        for line in accepted["lines"]:
            self.line(line)
        self.line(
            f"accepted: {accepted['change_id']}"
            f" revision {accepted['revision']}"
        )
        return 0


def client_from_options(command: Command) -> operators.OperatorClient:
    """Return a client for the entry and token of the command's options."""
    return operators.from_environment(
        command.option("entry"), command.option("token-file")
    )


def _read_declarations(paths: list[str]) -> str:
    """Return the text of all files.

    Each file is parsed separately so that errors name the file.
    """
    texts = []
    for path in operators.declaration_files(paths):
        text = operators.read_text(path)
        language.parse(text, file=str(path))
        texts.append(text)
    return "\n".join(texts)
