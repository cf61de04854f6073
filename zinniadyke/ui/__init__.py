"""Command line of zinniadyke."""

from zinniadyke.ui._run import run

__all__ = ["run"]
