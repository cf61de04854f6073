"""The operators' language of declarations, commands and queries."""

from zinniadyke.language._parser import parse
from zinniadyke.language._render import render_object
from zinniadyke.language._rows import matches
from zinniadyke.language._rows import Row
from zinniadyke.language._rows import select
from zinniadyke.language._statements import Command
from zinniadyke.language._statements import Condition
from zinniadyke.language._statements import Define
from zinniadyke.language._statements import Delete
from zinniadyke.language._statements import Explain
from zinniadyke.language._statements import Show
from zinniadyke.language._statements import Statement
from zinniadyke.language._statements import Verb
from zinniadyke.language._statements import Wait
from zinniadyke.language._table import format_table
from zinniadyke.language._to_changes import to_changes
from zinniadyke.language._values import duration_s
from zinniadyke.language._values import interpret

__all__ = [
    "Command",
    "Condition",
    "Define",
    "Delete",
    "Explain",
    "Row",
    "Show",
    "Statement",
    "Verb",
    "Wait",
    "duration_s",
    "format_table",
    "interpret",
    "matches",
    "parse",
    "render_object",
    "select",
    "to_changes",
]
