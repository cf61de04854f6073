"""The load that a target states in its answers."""

import pytest

from zinniadyke import platform


@pytest.mark.parametrize(
    ("text", "requests", "slowness", "unusable"),
    [
        ("3,1,8", (3, 1), None, False),
        (" 3, 1 , 8, 250", (3, 1), 2.5, False),
        ("3,1,8,87.5,new", (3, 1), 0.875, False),
        ("3,1,8,10000", (3, 1), 100.0, False),
        ("3,1,8,10001", (3, 1), None, True),
        ("3,1,8,0", (3, 1), None, True),
        ("3,1,8,-1", (3, 1), None, True),
        ("3,1,8,nan", (3, 1), None, True),
        ("3,1,8,", (3, 1), None, True),
        ("3,1", (None, None), None, True),
        ("3,x,8,150", (None, None), 1.5, True),
        ("3,1,1.5,150", (None, None), 1.5, True),
    ],
)
def test_bad_figure_does_not_drop_good_ones(
    text, requests, slowness, unusable
):
    load = platform.parse_load(text)
    assert (load.running, load.waiting) == requests
    assert (load.slowness, load.unusable) == (slowness, unusable)


def test_empty_header_has_no_load():
    assert platform.parse_load(" ") is None
