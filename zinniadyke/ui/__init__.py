"""The command line: thin commands over the library."""

from zinniadyke.ui._run import run

__all__ = ["run"]
