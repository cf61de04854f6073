import pytest

from zinniadyke import platform
from zinniadyke.platform import _prompt_parts


def test_last_part_belongs_to_the_request_alone():
    found = platform.shared_prompt_parts("5c1e:800,91BD:410,e440:250", "m")
    assert found == {"m/5c1e", "m/91bd"}


@pytest.mark.parametrize("text", ["", "5c1e:800", ",", ":5,:6", " , ,"])
def test_prompt_without_shared_parts_has_none(text):
    assert platform.shared_prompt_parts(text, "m") == frozenset()


def test_unreadable_parts_are_names_like_any_other():
    found = platform.shared_prompt_parts("a:b:c,\xff,x", "m")
    assert found == {"m/a", "m/\xff"}


def test_parts_of_one_request_fit_into_a_datagram():
    text = ",".join(f"{n:0100x}:1" for n in range(500))
    found = platform.shared_prompt_parts(text, "m")
    assert len(found) == _prompt_parts.MAX_PARTS
    assert max(len(part) for part in found) <= _prompt_parts.MAX_NAME_CHARS
