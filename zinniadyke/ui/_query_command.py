"""``zinniadyke query`` and ``zinniadyke watch``."""

import json

from cleo.commands.command import Command
from cleo.helpers import argument
from cleo.helpers import option
import eventlet

from zinniadyke import errors
from zinniadyke import language
from zinniadyke.ui import _apply_command

POLL_S = 0.5
RESPONSE_MARGIN_S = 10.0
FORMATS = ("table", "json")


class QueryCommand(Command):
    """Runs a query on the current state of the fleet."""

    name = "query"
    description = "Runs one query."
    arguments = [argument("text", "The query.")]
    options = [
        *_apply_command.CONNECTION_OPTIONS,
        option("format", None, "table or json", flag=False, default="table"),
    ]

    def handle(self) -> int:
        """Run the command."""
        if self.option("format") not in FORMATS:
            raise errors.UserError("--format must be table or json")
        text = self.argument("text")
        statements = language.parse(text)
        timeout_s = max(
            (s.within_s for s in statements if isinstance(s, language.Wait)),
            default=50.0,
        )
        found = _apply_command.client_from_options(self).send(
            "query", text, timeout_s=timeout_s + RESPONSE_MARGIN_S
        )
        if self.option("format") == "json":
            self.line(json.dumps(found["rows"] or found["lines"]))
        elif found["lines"]:
            self.line("\n".join(found["lines"]))
        else:
            self.line(language.format_table(found["rows"]).rstrip())
        return 0


class WatchCommand(Command):
    """Follows a rollout until it is complete."""

    name = "watch"
    description = "Shows a rollout's progress until it is complete."
    arguments = [argument("rollout", "Name of the rollout.")]
    options = _apply_command.CONNECTION_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        client = _apply_command.client_from_options(self)
        name = self.argument("rollout")
        query = f'show rollouts where rollout = "{name}"'
        last_line = ""
        while True:
            rows = client.send("query", query)["rows"]
            if not rows:
                raise errors.UserError(f"rollout '{name}' does not exist")
            row = rows[0]
            line = _progress_line(row)
            if line != last_line:
                self.line(line)
            last_line = line
            if row["complete"]:
                return 0
            if row["state"] == "cancelled":
                return 1
            eventlet.sleep(POLL_S)


def _progress_line(row: dict) -> str:
    waiting = ", ".join(
        f"{host} waits: {_format_code(code)}"
        for host, code in sorted(row["waiting"].items())
    )
    return (
        f"{row['rollout']} {row['state']}: staged {row['staged']},"
        f" serving {row['serving']} of {row['total']},"
        f" floor {row['floor']}" + (f"; {waiting}" if waiting else "")
    )


def _format_code(number: int) -> str:
    code = errors.ResultCode.from_number(number)
    return f"{code.number} {code.summary}"
