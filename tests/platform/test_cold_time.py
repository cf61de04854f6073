"""The time for which a target says that it is cold."""

import logging

import pytest

from tests.platform import test_store
from zinniadyke import platform
from zinniadyke.platform import _decode_target


@pytest.mark.parametrize(
    ("text", "seconds", "logged"),
    [
        ("", None, False),
        ("2500", 2.5, False),
        ("0", 0.0, False),
        ("-1", None, True),
        ("nan", None, True),
        ("soon", None, True),
        ("9" * 400, None, True),
    ],
)
def test_unusable_times_in_answers_are_ignored_and_logged(
    text, seconds, logged, caplog
):
    with caplog.at_level(logging.WARNING):
        assert platform.parse_cold(text, "a:1") == seconds
    assert bool(caplog.records) is logged


@pytest.mark.parametrize(
    ("value", "seconds", "logged"),
    [
        ("2500", 2.5, False),
        ("0", 0.0, False),
        ("-1", None, True),
        ("1e999", None, True),
        ("9" * 400, None, True),
    ],
)
def test_times_out_of_range_in_registrations_are_ignored_and_logged(
    value, seconds, logged, caplog
):
    """Such a number must not invalidate the whole registration."""
    stored = test_store.registration(cold_remaining_ms=value)
    with caplog.at_level(logging.WARNING):
        for _ in range(3):
            target = _decode_target.decode_target(stored, {})
            assert target.cold_remaining_s == seconds
    assert len(caplog.records) == logged


@pytest.mark.parametrize(
    "value", ["null", '"soon"', '"0"', "true", "[1]", "{}"]
)
def test_time_of_another_type_names_no_target(value):
    """Guards against an entry of another writer that is believed by halves."""
    stored = test_store.registration(cold_remaining_ms=value)
    with pytest.raises(ValueError, match="cold_remaining_ms"):
        _decode_target.decode_target(stored, {})
