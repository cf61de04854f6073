import eventlet
import pytest

from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import ids
from zinniadyke import platform

PURPOSE = platform.Purpose.STATUS
KEY = "status/rollout/r 1"


@pytest.fixture
def fake():
    made = fakes.FakePlatform()
    yield made
    made.stop()


@pytest.fixture
def client(fake):
    return platform.PlatformClient(url=fake.url, timeout_s=0.5)


def put(client, value, revision):
    return client.put(KEY, value, purpose=PURPOSE, revision=revision)


def watch(client, after, wait_s=0.05):
    return client.watch(KEY, purpose=PURPOSE, after=after, wait_s=wait_s)


def test_record_comes_back_byte_by_byte(client):
    value = '{"b": 1,  "a":"\u0644\u0651"}'.encode()
    revision = put(client, value, None)
    found = client.get(KEY, purpose=PURPOSE)
    assert found == platform.StoredObject(
        key=KEY, value=value, revision=revision
    )


def test_record_that_is_missing_is_none(client):
    assert client.get(KEY, purpose=PURPOSE) is None


def test_write_needs_the_present_revision(client):
    first = put(client, b"1", None)
    with pytest.raises(errors.ConflictError):
        put(client, b"2", None)
    second = put(client, b"2", first)
    assert second > first
    with pytest.raises(errors.ConflictError):
        put(client, b"3", first)
    assert client.get(KEY, purpose=PURPOSE).value == b"2"


def test_write_to_a_record_that_is_gone_conflicts(fake, client):
    revision = put(client, b"1", None)
    fake.remove("zinniadyke-status-rollout", "r 1")
    with pytest.raises(errors.ConflictError):
        put(client, b"2", revision)


def test_write_whose_answer_is_lost_is_unclear(fake, client):
    fake.faults.lose_answers = 1
    with pytest.raises(errors.PlatformError):
        put(client, b"1", None)
    assert client.get(KEY, purpose=PURPOSE).value == b"1"


def test_watch_returns_what_is_newer(client):
    revision = put(client, b"1", None)
    assert watch(client, 0).value == b"1"
    assert watch(client, revision) is None
    eventlet.spawn_after(0.05, put, client, b"2", revision)
    assert watch(client, revision, 2.0).value == b"2"


def test_watch_of_a_record_that_rests_outlives_the_history(fake, client):
    """The store holds changes for seconds; a record may rest for days."""
    revision = put(client, b"1", None)
    fake.forget_history()
    assert watch(client, revision) is None
    reads = fake.reads
    assert watch(client, revision) is None
    assert fake.reads == reads + 1
    put(client, b"2", revision)
    assert watch(client, revision).value == b"2"
    # A caller that knows less is told all the same.
    assert watch(client, 0).value == b"2"


def test_changes_of_other_records_are_not_returned(client):
    revision = put(client, b"1", None)
    client.put("status/rollout/o", b"x", purpose=PURPOSE, revision=None)
    assert watch(client, revision) is None


def test_hosts_are_listed(fake, client):
    host = platform.Host(
        name=ids.HostName("h1"),
        role=platform.HostRole.TARGET,
        zone=ids.ZoneName("z"),
        region="r",
        peer="1.2.3.4:5",
    )
    client.add_host(host)
    assert client.hosts() == [host]
    assert fake.hosts() == [host]
    with pytest.raises(errors.ConflictError):
        client.add_host(host)


def test_calls_are_counted_by_purpose(client):
    client.get(KEY, purpose=PURPOSE)
    client.hosts()
    assert client.calls == {PURPOSE: 1, platform.Purpose.MEMBERSHIP: 1}
