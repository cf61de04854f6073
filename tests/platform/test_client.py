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
    fake_platform = fakes.FakePlatform()
    yield fake_platform
    fake_platform.stop()


@pytest.fixture
def client(fake):
    return platform.PlatformClient(url=fake.url, timeout_s=0.5)


def put(client, value, revision):
    return client.put(KEY, value, purpose=PURPOSE, revision=revision)


def watch(client, after, wait_s=0.05):
    return client.watch(KEY, purpose=PURPOSE, after=after, wait_s=wait_s)


def test_record_is_read_back_byte_for_byte(client):
    value = '{"b": 1,  "a":"\u0644\u0651"}'.encode()
    revision = put(client, value, None)
    result = client.get(KEY, purpose=PURPOSE)
    assert result == platform.StoredObject(
        key=KEY, value=value, revision=revision
    )


def test_get_of_a_missing_record_returns_none(client):
    assert client.get(KEY, purpose=PURPOSE) is None


def test_put_requires_the_current_revision(client):
    first = put(client, b"1", None)
    with pytest.raises(errors.ConflictError):
        put(client, b"2", None)
    second = put(client, b"2", first)
    assert second > first
    with pytest.raises(errors.ConflictError):
        put(client, b"3", first)
    assert client.get(KEY, purpose=PURPOSE).value == b"2"


def test_put_to_a_removed_record_conflicts(fake, client):
    revision = put(client, b"1", None)
    fake.remove("zinniadyke-status-rollout", "r 1")
    with pytest.raises(errors.ConflictError):
        put(client, b"2", revision)


def test_put_with_a_lost_answer_raises_after_taking_effect(fake, client):
    fake.faults.lose_answers = 1
    with pytest.raises(errors.PlatformError):
        put(client, b"1", None)
    assert client.get(KEY, purpose=PURPOSE).value == b"1"


def test_watch_returns_a_newer_revision(client):
    revision = put(client, b"1", None)
    assert watch(client, None).value == b"1"
    assert watch(client, revision) is None
    eventlet.spawn_after(0.05, put, client, b"2", revision)
    assert watch(client, revision, 2.0).value == b"2"


def test_watch_of_an_unchanged_record_survives_lost_history(fake, client):
    """The store keeps changes for seconds; a record may be days old."""
    revision = put(client, b"1", None)
    fake.compact_history()
    assert watch(client, revision) is None
    reads = fake.reads
    assert watch(client, revision) is None
    assert fake.reads == reads + 1
    put(client, b"2", revision)
    assert watch(client, revision).value == b"2"
    # A caller with an older revision still gets the record.
    assert watch(client, None).value == b"2"


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
