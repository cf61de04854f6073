"""Entries that another writer left among those of the targets."""

import contextlib
import json
import time

import eventlet
import hypothesis
from hypothesis import strategies
import msgspec
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke import fakes
from zinniadyke import platform
from zinniadyke.platform import _json_text
from zinniadyke.platform import _store

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)
VALUES = strategies.recursive(
    strategies.none() | strategies.integers() | strategies.text(),
    lambda inner: (
        strategies.lists(inner)
        | strategies.dictionaries(strategies.text(), inner)
    ),
)
SOUND = {
    "service": "desk",
    "address": "10.1.2.3:8080",
    "zone": "z1",
    "version": "v1",
    "slots": 4,
    "state": "ready",
    "cold_remaining_ms": 0,
    "seq": 1,
}


def entry(**more):
    """Return the text of an entry of which some values are odd JSON texts."""
    fields = {n: msgspec.json.encode(v).decode() for n, v in SOUND.items()}
    fields |= more
    inner = ",".join(
        f'"{name}":{text}' for name, text in fields.items() if text
    )
    return "{" + inner + "}"


ODD_ENTRIES = {
    "deeply nested": entry(note="[" * 50_000 + "]" * 50_000),
    "deeply nested objects": entry(note='{"a":' * 9_000 + "1" + "}" * 9_000),
    "half of a surrogate pair": entry(note=r'"moved to hall b \ud83d"'),
    "not a number": entry(slots="NaN"),
    "infinite": entry(born="1e999"),
    "too many slots": entry(slots="9" * 400),
    "too many digits": entry(slots="9" * 5000),
    "negative": entry(slots="-4"),
    "start beyond 64 bits": entry(born="9" * 30),
    "version beyond 64 bits": entry(
        models='[{"name":"m","version":' + "9" * 30 + "}]"
    ),
    "port out of range": entry(address='"10.1.2.4:99999"'),
    "port 0": entry(address='"10.1.2.4:0"'),
    "port in other digits": entry(address='"10.1.2.4:８０"'),
    "name for an address": entry(address='"target.example:80"'),
    "no service": entry(service=""),
    "no slots": entry(slots=""),
    "no software version": entry(version=""),
    "no number of changes": entry(seq=""),
    "no cold time": entry(cold_remaining_ms=""),
    "cold time of another type": entry(cold_remaining_ms='"none"'),
    "stage of another type": entry(stage="1"),
    "adapters of another type": entry(
        models='[{"name":"m","version":1,"adapters":"a"}]'
    ),
    "software version of another type": entry(version="1"),
    "models of another type": entry(models='{"m":1}'),
    "layers of another type": entry(layers="[0,8]"),
    "start of another type": entry(born='"today"'),
    "unknown state": entry(state='"resting"'),
    "no object": '"i-1"',
    "control character": entry(note='"\x01"'),
}


@pytest.fixture
def store():
    made = fakes.FakeStore(page_size=2)
    yield made
    made.stop()


@pytest.mark.parametrize("odd", ODD_ENTRIES.values(), ids=ODD_ENTRIES)
def test_odd_entry_of_another_writer_hides_no_target(store, odd):
    """Neither in a list nor among changes."""
    view = directory.View()
    follower = platform.follow_targets(
        platform.StoreClient(address=store.address), view, batch_window_s=0.01
    )
    store.put("servers", "t1", SOUND)
    store.put("servers", "t2-odd", msgspec.Raw(odd.encode()))
    store.put("servers", "t3", SOUND | {"address": "10.1.2.5:8080"})
    task = eventlet.spawn(follower.run)
    try:
        assert deploy.wait_until(
            lambda: set(view.targets or ()) == {"t1", "t3"}
        )
        store.put("servers", "t4-odd", msgspec.Raw(odd.encode()))
        store.put("servers", "t5", SOUND | {"address": "10.1.2.6:8080"})
        assert deploy.wait_until(
            lambda: set(view.targets) == {"t1", "t3", "t5"}
        )
    finally:
        task.kill()


def test_target_whose_entry_became_unreadable_is_not_used(store):
    view = directory.View()
    follower = platform.follow_targets(
        platform.StoreClient(address=store.address), view
    )
    store.put("servers", "t1", SOUND)
    store.put("servers", "t3", SOUND)
    follower.step()
    odd = msgspec.Raw(ODD_ENTRIES["deeply nested"].encode())
    store.put("servers", "t1", odd)
    follower.step()
    assert set(view.targets) == {"t3"}


def test_evacuation_holds_with_an_unreadable_spec(store):
    view = directory.View()
    follower = platform.follow_evacuations(
        platform.StoreClient(address=store.address), view, zones=["z1"]
    )
    store.put("evacuations", "z1", msgspec.Raw(rb'{"why": "\ud83d"}'))
    follower.step()
    assert view.evacuated_zones == {"z1"}


@pytest.mark.parametrize(
    "odd",
    [
        b'"' + rb"\"" * 100_000,
        b'["' + rb"\"" * 100_000 + b"]",
        b'"a' * 100_000,
    ],
    ids=["string without an end", "in an array", "many strings"],
)
def test_time_to_split_a_text_is_linear_in_its_size(odd):
    """Guards against an entry that stops a process for minutes."""
    began = time.monotonic()
    with contextlib.suppress(ValueError):
        _json_text.split_elements(b"[" + odd + b"]")
    assert time.monotonic() - began < 5.0


def test_pages_of_unreadable_entries_do_not_end_a_list(store):
    for number in range(5):
        odd = ODD_ENTRIES["half of a surrogate pair"].encode()
        store.put("servers", f"t{number}", msgspec.Raw(odd))
    store.put("servers", "t9", SOUND)
    listed = _store.StoreClient(address=store.address).list_objects("servers")
    assert listed.objects[-1].metadata.name == "t9"


@SETTINGS
@hypothesis.given(
    values=strategies.lists(VALUES), indent=strategies.sampled_from([None, 1])
)
def test_split_texts_are_those_of_the_parts(values, indent):
    text = json.dumps(values, indent=indent).encode()
    parts = _json_text.split_elements(text)
    assert [json.loads(part) for part in parts] == values
    members = {f"n{number}": value for number, value in enumerate(values)}
    text = json.dumps(members, indent=indent).encode()
    split = _json_text.split_members(text)
    assert {n: json.loads(part) for n, part in split.items()} == members
    assert json.loads(_json_text.join_members(split)) == members


@SETTINGS
@hypothesis.given(text=strategies.binary())
def test_any_text_is_split_or_refused(text):
    for split in (_json_text.split_elements, _json_text.split_members):
        try:
            split(text)
        except (ValueError, msgspec.MsgspecError):
            continue
