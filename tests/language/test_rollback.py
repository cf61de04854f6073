"""The command ``rollback rollout NAME``."""

import pytest

from zinniadyke import errors
from zinniadyke import language
from zinniadyke import objects

DECLARATIONS = """
service s { kind = model }
model m { service = s }
rollout r1 { model = m version = 1 sequence = 1 }
rollout r2 { model = m version = 2 sequence = 2 floor = 3 }
rollout r2b { model = m version = 2 sequence = 3 floor = 4 favour = time }
"""


def apply(text: str, current=None) -> objects.Configuration:
    current = current or objects.Configuration()
    found = dict(current.objects)
    for change in language.to_changes(language.parse(text), current):
        found[change.key] = change.value
    return objects.Configuration(revision=1, objects=found)


def test_rollback_declares_the_previous_version_once():
    before = apply(DECLARATIONS)
    after = apply("rollback rollout r2b", before)
    key, rollout = after.current_rollout("m")
    assert key.name == "r2b-rollback"
    assert (rollout.version, rollout.sequence) == ("1", 4)
    assert (rollout.floor, rollout.favour) == (4, objects.Favour.TIME)
    assert apply("rollback rollout r2b", after).objects == after.objects


def test_rollback_applies_earlier_statements_and_skips_cancelled_rollouts():
    after = apply(
        DECLARATIONS
        + "rollout r3 { model = m version = 3 sequence = 7 }"
        + "cancel rollout r1 cancel rollout r3 rollback rollout r3"
    )
    _, rollout = after.current_rollout("m")
    assert (rollout.version, rollout.sequence) == ("2", 8)


@pytest.mark.parametrize(
    ("text", "message"),
    [
        ("rollback rollout none", "no rollout 'none'"),
        ("rollback rollout r2", "'r2b' came after rollout 'r2'"),
        (
            "cancel rollout r1 rollback rollout r2b",
            "no version came before rollout 'r2b'",
        ),
        ("rollback target t", "a target has no command rollback"),
    ],
)
def test_invalid_rollbacks_are_rejected(text, message):
    with pytest.raises(errors.DeclarationError, match=message):
        apply(text, apply(DECLARATIONS))
