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
    """Shows the difference; exit code 2 if there is one."""

    name = "plan"
    description = "Shows what apply would change."
    arguments = FILES
    options = CONNECTION_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        text = _read_all(self.argument("files"))
        lines = client_of(self).send("plan", text)["lines"]
        for line in lines:
            self.line(line)
        if not lines:
            self.line("no difference")
        return EXIT_DIFFERENCE if lines else 0


class ApplyCommand(Command):
    """Makes the declarations the accepted configuration."""

    name = "apply"
    description = "Applies declarations, all or nothing."
    arguments = FILES
    options = [
        *CONNECTION_OPTIONS,
        option("change-id", None, "Id of an earlier try.", flag=False),
    ]

    def handle(self) -> int:
        """Run the command."""
        text = _read_all(self.argument("files"))
        change_id = self.option("change-id") or ids.new_change_id()
        options = {"change_id": change_id, "author": getpass.getuser()}
        try:
            accepted = client_of(self).send("apply", text, options)
        except errors.UnknownOutcomeError as error:
            raise errors.UnknownOutcomeError(
                f"{error.message}; unknown whether it was accepted, run"
                f" again with --change-id {change_id}"
            )
        for line in accepted["lines"]:
            self.line(line)
        self.line(
            f"accepted: {accepted['change_id']}"
            f" revision {accepted['revision']}"
        )
        return 0


def client_of(command: Command) -> operators.OperatorClient:
    """Return the client that the command's options name."""
    return operators.from_environment(
        command.option("entry"), command.option("token-file")
    )


def _read_all(paths: list[str]) -> str:
    """Read files, each checked by itself so that errors name it."""
    texts = []
    for path in operators.declaration_files(paths):
        text = operators.read_text(path)
        language.parse(text, file=str(path))
        texts.append(text)
    return "\n".join(texts)
