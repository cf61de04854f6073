"""The limit that a target names in its answers."""

import pytest

from zinniadyke import platform


@pytest.mark.parametrize(
    ("text", "limit_per_s"),
    [
        ("", None),
        ("2", 2.0),
        (" 1.9 ", 1.9),
        (".5", 0.5),
        ("0", 0.1),
        ("0.001", 0.1),
        ("-1", None),
        ("nan", None),
        ("inf", None),
        ("1e3", None),
        ("two", None),
        ("1, 2", None),
        ("9" * 400, None),
        ("\u0661", None),
    ],
)
def test_limit_is_read_and_bounded(text, limit_per_s):
    assert platform.parse_limit(text, "a:1") == limit_per_s
