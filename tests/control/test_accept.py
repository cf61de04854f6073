"""Acceptance of changes under lost responses, outages and races."""

import eventlet
import pytest

from zinniadyke import control
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import language
from zinniadyke import objects
from zinniadyke import platform


@pytest.fixture
def fake():
    made = fakes.FakePlatform()
    yield made
    made.stop()


@pytest.fixture
def client(fake):
    return platform.PlatformClient(url=fake.url, timeout_s=0.5)


def accept(client, text, change_id, **options):
    changes = language.to_changes(
        language.parse(text), objects.Configuration()
    )
    return control.accept(
        client, changes, author="op", change_id=change_id, **options
    )


def names(client):
    return sorted(control.read_head(client).head.objects)


def test_an_invalid_change_list_is_rejected_as_a_whole(client):
    accept(client, "service s { kind = plain }", "c1")
    with pytest.raises(errors.DeclarationError, match="no service 't'"):
        accept(client, "workspace w { } model m { service = t }", "c2")
    assert names(client) == ["service//s"]


def test_a_response_lost_after_the_write_is_resolved(fake, client):
    fake.faults.lose_answers = 2
    accepted = accept(client, "service s { kind = plain }", "c1")
    assert accepted.revision == 1
    assert control.change_outcome(client, "c1").revision == 1
    assert names(client) == ["service//s"]


def test_the_same_change_id_is_not_applied_twice(client):
    accept(client, "service s { kind = plain }", "c1")
    accept(client, "delete service s", "c2")
    again = accept(client, "service s { kind = plain }", "c1")
    assert again.revision == 1
    assert names(client) == []


def test_a_lost_response_in_an_outage_is_unknown_until_it_ends(fake, client):
    accept(client, "service s { kind = plain }", "c1")
    put = client.put

    def put_then_outage(key, *args, **kwargs):
        if key == control.HEAD_KEY:
            fake.faults.lose_answers = 1
            fake.faults.down = False
            try:
                return put(key, *args, **kwargs)
            finally:
                fake.faults.down = True
        return put(key, *args, **kwargs)

    client.put = put_then_outage
    with pytest.raises(errors.UnknownOutcomeError, match="--change-id c2"):
        accept(client, "service t { kind = plain }", "c2", deadline_s=0.4)
    fake.faults.down = False
    client.put = put
    assert control.change_outcome(client, "c2").revision == 2
    assert accept(client, "service t { kind = plain }", "c2").revision == 2


def test_nothing_is_accepted_while_the_platform_is_down(fake, client):
    fake.faults.down = True
    with pytest.raises(errors.PlatformError):
        accept(client, "service s { kind = plain }", "c1")
    fake.faults.down = False
    assert names(client) == []


def race(client, first, second):
    """Accept ``second`` between the read and the write of ``first``."""
    write = platform.compare_and_swap
    done = []

    def slow(*args, **kwargs):
        if not done:
            done.append(True)
            accept(client, second, "c-second")
        return write(*args, **kwargs)

    control._accept.platform.compare_and_swap = slow
    try:
        return accept(client, first, "c-first")
    finally:
        control._accept.platform.compare_and_swap = write


def test_the_second_operator_on_one_object_gets_a_conflict(client):
    accept(client, "workspace w { }", "c0")
    with pytest.raises(errors.ConflictError, match="op .c-second."):
        race(client, "workspace w { share = 2 }", "workspace w { share = 3 }")
    head = control.read_head(client).head
    found = control._accept.load_configuration(client, head)
    assert found.get("workspace", "w").share == 3


def test_two_operators_on_different_objects_are_both_accepted(client):
    accepted = race(client, "workspace a { }", "workspace b { }")
    assert accepted.revision == 2
    assert names(client) == ["workspace//a", "workspace//b"]


def test_concurrent_changes_are_all_accepted(client):
    tasks = [
        eventlet.spawn(accept, client, f"workspace w{n} {{ }}", f"c{n}")
        for n in range(8)
    ]
    assert sorted(t.wait().revision for t in tasks) == list(range(1, 9))
    assert len(names(client)) == 8


def test_an_existing_version_cannot_be_changed(client):
    accept(
        client,
        "service s { kind = model } model m { service = s }"
        ' version 1 of m { source = "http://x" digest = a }',
        "c1",
    )
    with pytest.raises(errors.DeclarationError, match="immutable"):
        accept(
            client, 'version 1 of m { source = "http://y" digest = a }', "2"
        )
