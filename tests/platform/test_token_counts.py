import pytest

from zinniadyke import platform
from zinniadyke.platform import _host_figures


@pytest.mark.parametrize(
    ("counts", "hint", "expected"),
    [
        ("1330,512", "147", (1330, 512, 147)),
        (" 7 , 8 ", "", (7, 8, None)),
        ("7", "9", (7, None, 9)),
        ("x,8", "-1", (None, 8, None)),
        ("7,8,9", "1.5", (7, None, None)),
        ("9" * 18 + ",²", "1e3", (None, None, None)),
    ],
)
def test_unreadable_token_counts_leave_the_others(counts, hint, expected):
    """One bad figure of a caller must not cost the good ones."""
    found = platform.parse_token_counts(counts, hint)
    assert (found.prompt, found.max_answer, found.expected_answer) == expected


@pytest.mark.parametrize(
    ("header", "pace", "expected", "expected_first"),
    [
        ("1,2,3,250", 1.0, 2.5, 2.5),
        ("1,2,3", 1.5, 1.5, None),
        ("1,2,3,x", 2, 2.0, None),
        ("1,2,3,0", None, None, None),
        ("", "fast", None, None),
        ("", True, None, None),
    ],
)
def test_slowness_is_that_of_the_header_or_else_of_the_report(
    header, pace, expected, expected_first
):
    """The report's figure is older; unreadable ones must not raise."""
    load = platform.parse_load(header)
    for stated_before, pace_used in (
        (True, expected),
        (False, expected_first),
    ):
        assert (
            _host_figures.choose_pace(load, pace, stated_before=stated_before)
            == pace_used
        )


@pytest.mark.parametrize("value", [None, "9", -1, True, float("nan"), 1e300])
def test_unreadable_memory_is_unknown(value):
    """The agent would otherwise report that its target is down."""
    assert _host_figures.read_tokens(value) == 0
