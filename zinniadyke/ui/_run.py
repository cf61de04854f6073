"""Runs a daemon or a command for operators."""

import sys

from zinniadyke import errors
from zinniadyke.ui import _daemons

EXIT_OK = 0
EXIT_FAILED = 1
EXIT_DIFFERENCE = 2
EXIT_UNKNOWN_OUTCOME = 3


def run(arguments: list[str]) -> int:
    """Run a command and return its exit code.

    Daemons do not import the command-line library: it would take a tenth
    of their memory.
    """
    try:
        if arguments and arguments[0] in _daemons.DAEMON_NAMES:
            return _daemons.run(arguments)
        from zinniadyke.ui import _application

        return _application.run(arguments)
    except errors.UserError as error:
        print(f"zinniadyke: {error.message}", file=sys.stderr)
        unknown = isinstance(error, errors.UnknownOutcomeError)
        return EXIT_UNKNOWN_OUTCOME if unknown else EXIT_FAILED
