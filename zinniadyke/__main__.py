"""Entry point of the ``zinniadyke`` command."""

import sys

from zinniadyke import _runtime

_runtime.patch()

from zinniadyke import ui


def main() -> int:
    """Run the command line and return its exit code."""
    return ui.run(sys.argv[1:])


if __name__ == "__main__":
    sys.exit(main())
