"""``zinniadyke token``."""

from cleo.commands.command import Command
from cleo.helpers import argument

from zinniadyke import requests


class TokenCommand(Command):
    """Prints a new bearer token and its salted hash."""

    name = "token"
    description = "Prints a new token and the hash to declare."
    arguments = [argument("workspace", "Workspace, or 'fleet'.")]

    def handle(self) -> int:
        """Run the command."""
        token = requests.new_token(self.argument("workspace"))
        self.line(f"token {token}")
        self.line(f"hash  {requests.hash_token(token)}")
        return 0
