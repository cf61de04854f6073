"""Commands for operators, built on cleo."""

import cleo.application
import cleo.io.inputs.argv_input

from zinniadyke import __version__
from zinniadyke import errors
from zinniadyke.ui import _apply_command
from zinniadyke.ui import _bench_command
from zinniadyke.ui import _check_command
from zinniadyke.ui import _demo_command
from zinniadyke.ui import _manifest_command
from zinniadyke.ui import _query_command
from zinniadyke.ui import _token_command

COMMANDS = (
    _apply_command.ApplyCommand,
    _apply_command.PlanCommand,
    _bench_command.BenchCeilingsCommand,
    _bench_command.BenchOverloadCommand,
    _bench_command.BenchPlacementCommand,
    _bench_command.BenchRestartCommand,
    _bench_command.BenchRequestsCommand,
    _bench_command.BenchRolloutCommand,
    _check_command.CheckCommand,
    _demo_command.DemoCommand,
    _manifest_command.ManifestCommand,
    _query_command.QueryCommand,
    _query_command.WatchCommand,
    _token_command.TokenCommand,
)


class Application(cleo.application.Application):
    """Raises user errors, so that ``ui.run`` prints them as one line."""

    def render_error(self, error: Exception, io) -> None:
        """Print an error, but raise a user error."""
        if isinstance(error, errors.UserError):
            raise error
        super().render_error(error, io)


def run(arguments: list[str]) -> int:
    """Run a command for operators and return its exit code."""
    application = Application("zinniadyke", __version__)
    for command in COMMANDS:
        application.add(command())
    application.auto_exits(False)
    argv = ["zinniadyke", *arguments]
    return application.run(cleo.io.inputs.argv_input.ArgvInput(argv))
