import itertools

import eventlet
import msgspec
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import platform
from zinniadyke.platform import _decode_configuration
from zinniadyke.platform import _decode_target
from zinniadyke.platform import _revision
from zinniadyke.platform import _store


@pytest.fixture
def store():
    made = fakes.FakeStore(page_size=2)
    yield made
    made.stop()


def stored(name, spec):
    return _store.StoreObject(
        metadata=_store.ObjectMetadata(name=name), spec=spec
    )


def registration(**more):
    fields = {
        "service": '"s"',
        "address": '"1.2.3.4:5"',
        "zone": '"z"',
        "version": '"v1"',
        "slots": "4",
        "state": '"ready"',
        "cold_remaining_ms": "0",
        "seq": "1",
        **more,
    }
    inner = ", ".join(f'"{n}": {v}' for n, v in fields.items())
    return stored("t1", ("{" + inner + "}").encode())


def test_list_reads_all_pages(store):
    for number in range(5):
        store.put("servers", f"t{number}", {})
    client = _store.StoreClient(address=store.address)
    listed = client.list_objects("servers")
    assert [o.metadata.name for o in listed.objects] == [
        f"t{number}" for number in range(5)
    ]
    assert store.reads == 3


def test_watch_returns_changes_and_raises_when_history_is_gone(store):
    client = _store.StoreClient(address=store.address)
    revision = client.list_objects("servers").revision
    store.put("servers", "t1", {})
    store.remove("servers", "t1")
    result = client.watch("servers", revision, 1.0)
    assert [c.removed for c in result.changes] == [False, True]
    assert client.watch("servers", result.revision, 0.05).changes == []
    store.compact_history()
    with pytest.raises(_store.HistoryGoneError):
        client.watch("servers", revision, 0.05)


def test_refusing_or_silent_store_raises_an_error(store):
    client = _store.StoreClient(address=store.address)
    store.down = 429
    with pytest.raises(errors.PlatformError):
        client.list_objects("servers")
    store.down = 0
    store.silent = True
    with pytest.raises(errors.PlatformError):
        client.watch("servers", platform.Revision(client.era, 1), 0.05)
    store.silent = False
    assert client.list_objects("servers").objects == []


def test_follower_recovers_from_an_outage(store):
    view = directory.View()
    follower = platform.follow_configuration(
        _store.StoreClient(address=store.address), view
    )
    store.put("config", "main", deploy.configuration(1))
    follower.step()
    store.down = 503
    with pytest.raises(errors.PlatformError):
        follower.step()
    store.down = 0
    store.put("config", "main", deploy.configuration(2))
    follower.revision = None
    follower.step()
    assert view.configuration.version == 2


def test_target_holds_a_model_only_with_all_its_layers():
    spec = {
        "models": '[{"name": "m", "version": 3, "adapters": []}]',
        "layers": '{"from": 0, "target": 4, "version": 3}',
        "born": "12",
    }
    result = _decode_target.decode_target(registration(**spec), {"s": 4})
    assert result.weights == {"m": 3}
    assert result.incarnation == ("t1", 12)
    for layers in ({"s": 5}, {}):
        result = _decode_target.decode_target(registration(**spec), layers)
        assert result.weights == {}


@pytest.mark.parametrize(
    "more",
    [
        {"state": '"resting"'},
        {"state": "3"},
        {"address": '"nowhere"'},
        {"service": "null"},
        {"slots": '"many"'},
        {"born": "1.5"},
    ],
)
def test_unreadable_registration_is_refused(more):
    with pytest.raises(ValueError):
        _decode_target.decode_target(registration(**more), {})


def test_longest_prefix_wins_and_kind_sets_the_retry_mode():
    spec = (
        b'{"version": 4, "routes": ['
        b'{"name": "a", "host": "H.example", "path_prefix": "/x/",'
        b' "kind": "idempotent", "service": "s"},'
        b'{"name": "b", "host": "h.example", "path_prefix": "/x/y/",'
        b' "kind": "streaming", "stream_resume": true,'
        b' "traffic_split": [{"service": "s", "weight": 90},'
        b' {"service": "t", "weight": 10}]},'
        b'{"name": "c", "host": "h.example", "path_prefix": "/z/",'
        b' "kind": "unheard", "service": "s"}]}'
    )
    result = _decode_configuration.decode_configuration(stored("main", spec))
    route = result.find_route("h.example", "/x/y/z")
    assert route.name == "b"
    assert route.retry_mode is directory.RetryMode.RESUME
    assert [b.weight for b in route.backends] == [90, 10]
    assert result.find_route("h.example", "/x/z").name == "a"
    assert result.find_route("h.example", "/x") is None
    unknown_kind = result.find_route("h.example", "/z/")
    assert unknown_kind.retry_mode is directory.RetryMode.NEVER
    assert result.workspaces is None


def test_changes_of_targets_are_batched(store):
    """Each call is charged for, and each heartbeat of a target is a change."""
    view = directory.View()
    follower = platform.follow_targets(
        platform.StoreClient(address=store.address), view
    )
    task = eventlet.spawn(follower.run)
    try:
        assert deploy.wait_until(lambda: view.targets is not None)
        before = store.reads
        for number in range(30):
            spec = {
                "service": "s",
                "address": f"1.2.3.4:{8000 + number}",
                "zone": "z",
                "version": "v1",
                "slots": 4,
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": 1,
            }
            store.put("servers", f"t{number}", spec)
            eventlet.sleep(0.01)
        assert deploy.wait_until(lambda: len(view.targets) == 30, 2.0)
        assert store.reads - before <= 5
    finally:
        task.kill()


def test_batching_does_not_keep_lapsed_targets_longer():
    """After an outage lapsed targets must be removed without a batch pause."""
    made = platform.follow_targets(
        platform.StoreClient(address="127.0.0.1:1"), directory.View()
    )
    steps = []

    def step():
        eventlet.sleep(0.001)
        steps.append(1)
        return True

    made.step = step
    made.lapsed = {"t": None}
    task = eventlet.spawn(made.run)
    assert deploy.wait_until(lambda: len(steps) > 5, 0.25)
    task.kill()


# DRAIN: a watch cut off just after its wait counted as one without an answer.
@pytest.mark.parametrize(
    ("end", "timed_out"),
    [
        (lambda exchange: None, False),
        (lambda exchange: exchange.reset(), False),
        (lambda exchange: eventlet.sleep(2.0), True),
    ],
    ids=["closed", "reset", "silent"],
)
def test_only_a_call_without_any_end_has_timed_out(end, timed_out):
    def script(exchange):
        eventlet.sleep(0.05)
        end(exchange)

    server = fakes.ScriptedTarget(script=script)
    client = platform.StoreClient(address=server.address)
    with pytest.raises(errors.PlatformError) as caught:
        client.watch("a", _revision.Revision(_revision.NO_ERA, 1), 0.02)
    server.stop()
    assert isinstance(caught.value, errors.PlatformTimeoutError) == timed_out


def test_refusal_does_not_count_as_an_answer_of_the_store(store):
    client = platform.StoreClient(address=store.address)
    follower = platform.follow_targets(client, directory.View())
    assert follower.answered_at() == float("-inf")
    client.list_objects("servers")
    answered_at = follower.answered_at()
    assert answered_at > float("-inf")
    store.down = 503
    with pytest.raises(errors.PlatformError):
        client.list_objects("servers")
    assert follower.answered_at() == answered_at


class PagedStore:
    """Answers each list with the next of some pages, then with the last."""

    def __init__(self, *pages):
        self.pages = list(pages)
        self.target = fakes.ScriptedTarget(script=self.answer)
        self.client = _store.StoreClient(address=self.target.address)

    def answer(self, exchange):
        page = self.pages.pop(0) if len(self.pages) > 1 else self.pages[0]
        if callable(page):
            page = page()
        exchange.answer(200, msgspec.json.encode(page))


def page(*names, **more):
    items = [
        {"kind": "servers", "metadata": {"name": n, "rev": 1}, "spec": {}}
        for n in names
    ]
    return {"items": items, "current_rev": 9, **more}


@pytest.mark.parametrize(
    "second",
    [
        page(has_more=True),
        page("t1", has_more=True),
        page("t0", has_more=True),
        page("t2"),
        {"items": [{}], "current_rev": 9, "has_more": True},
    ],
    ids=["empty", "same name", "earlier name", "no end stated", "unreadable"],
)
def test_list_that_does_not_end_is_not_taken_for_whole(second):
    """Guards against targets that vanish as a page of their list is spoilt."""
    store = PagedStore(page("t1", has_more=True), second)
    try:
        with pytest.raises(errors.PlatformError):
            store.client.list_objects("servers")
    finally:
        store.target.stop()


def test_list_of_pages_without_end_is_broken_off(monkeypatch):
    """Guards against a list that fills the memory page by page."""
    monkeypatch.setattr(_store, "MAX_LIST_BYTES", 20_000)
    numbers = itertools.count(10_000)
    store = PagedStore(lambda: page(f"t{next(numbers)}", has_more=True))
    try:
        with pytest.raises(errors.PlatformError, match="exceeds 20000 bytes"):
            store.client.list_objects("servers")
    finally:
        store.target.stop()
