"""Malformed or unexpected input ends nothing but itself.

Generated input is the same in each run.
"""

import socket

import eventlet
import hypothesis
from hypothesis import strategies as st
import msgspec
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import decimal_text
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke.gateway import _call_builder
from zinniadyke.gateway import _caller_wait
from zinniadyke.gateway import _events
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _request
from zinniadyke.gateway import _request_parser
from zinniadyke import platform
from zinniadyke.platform import _decode_configuration
from zinniadyke.platform import _decode_target
from zinniadyke.platform import _store
from zinniadyke import reports
from zinniadyke.sidecar import _load_reporter

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)
JSON = st.recursive(
    st.none()
    | st.booleans()
    | st.integers()
    | st.floats(allow_nan=False, allow_infinity=False)
    | st.text(max_size=8),
    lambda inner: (
        st.lists(inner, max_size=3)
        | st.dictionaries(st.text(max_size=8), inner, max_size=3)
    ),
    max_leaves=8,
)
CONFIGURATION = deploy.configuration()
REGISTRATION = {
    "service": "desk",
    "address": "10.0.0.1:80",
    "zone": "z1",
    "state": "ready",
    "version": "v1",
    "slots": 4,
    "cold_remaining_ms": 0,
    "seq": 1,
    "born": 1,
    "models": [{"name": "m", "version": 1}],
    "layers": {"from": 0, "target": 16, "version": 1},
}
DECODERS = {
    "configuration": (
        _decode_configuration.decode_configuration,
        CONFIGURATION,
    ),
    "registration": (
        lambda stored: _decode_target.decode_target(stored, {"desk": 16}),
        REGISTRATION,
    ),
    "version": (
        _decode_target.decode_desired_weights,
        {"model": "m", "version": 2},
    ),
}


def stored(spec):
    return _store.StoreObject(
        metadata=_store.ObjectMetadata(name="main"), spec=msgspec.Raw(spec)
    )


@st.composite
def damaged(draw, valid):
    """Return a valid object with one value, at any depth, replaced."""
    spec = msgspec.json.decode(msgspec.json.encode(valid))
    place = spec
    while True:
        keys = list(place) if isinstance(place, dict) else range(len(place))
        if not keys:
            return spec
        key = draw(st.sampled_from(keys))
        if isinstance(place[key], dict | list) and draw(st.booleans()):
            place = place[key]
            continue
        place[key] = draw(JSON)
        return spec


@pytest.mark.parametrize("name", DECODERS)
@SETTINGS
@hypothesis.given(data=st.data())
def test_objects_of_other_writers_are_decoded_or_refused(name, data):
    decode, valid = DECODERS[name]
    spec = data.draw(
        st.binary(max_size=40)
        | JSON.map(msgspec.json.encode)
        | damaged(valid).map(msgspec.json.encode)
    )
    try:
        decode(stored(spec))
    except ValueError:
        return


@SETTINGS
@hypothesis.given(data=st.binary(max_size=200))
def test_datagrams_are_decoded_or_refused(data):
    try:
        reports.decode(data)
    except ValueError:
        return


@SETTINGS
@hypothesis.given(parts=st.lists(st.binary(max_size=60), max_size=6))
def test_callers_bytes_are_parsed_or_rejected(parts):
    parser = _request_parser.RequestParser(
        read_limits=directory.CallerLimits,
        memory=_memory_budget.ProcessMemory().open_connection(),
    )
    for part in parts:
        parser.feed(part)
    assert all(
        isinstance(p, _request.CallerRequest | _request.RejectedRequest)
        for p in parser.parsed
    )


HEADER_NAMES = st.sampled_from(
    [
        b"host",
        b"x-zinniadyke-deadline-ms",
        b"x-zinniadyke-key",
        b"x-zinniadyke-request-id",
        b"last-event-id",
        b"x-zinniadyke-model",
        b"x-zinniadyke-token-counts",
    ]
)


@SETTINGS
@hypothesis.given(
    pairs=st.lists(
        st.tuples(
            HEADER_NAMES,
            st.sampled_from(
                [b"h.example", b"key-1", b"nan", b"1e999", b"\xb2"]
            )
            | st.binary(max_size=12),
        ),
        max_size=6,
    )
)
def test_callers_headers_make_a_call_or_a_refusal(pairs):
    configuration = _decode_configuration.decode_configuration(
        stored(msgspec.json.encode(CONFIGURATION))
    )
    request = _request.CallerRequest(
        method="POST",
        target=b"/once/x",
        http_1_1=True,
        headers=[(b"host", b"h.example"), *pairs],
        body=b"",
        keep_alive=True,
        arrived_at=0.0,
    )
    try:
        _call_builder.build_call(
            request, configuration, _caller_wait.CallerWaitEstimator()
        )
    except errors.RequestError:
        return


@SETTINGS
@hypothesis.given(data=st.binary(max_size=60))
def test_events_are_numbered_or_not(data):
    for event in _events.EventSplitter().feed(b"id: " + data + b"\n\n"):
        number = _events.event_number(event)
        assert number is None or number >= 0


@pytest.mark.parametrize(
    ("text", "count"),
    [("12", 12), (" 7 ", 7), ("\xb2", None), ("-1", None), ("9" * 5000, None)],
)
def test_counts_are_ascii_digits(text, count):
    assert decimal_text.parse_count(text) == count


@pytest.mark.parametrize("load", ["\xb2,1,4", "9" * 5000 + ",1,4", ",,", "x"])
def test_unreadable_load_of_a_target_costs_no_answer(load):
    def script(exchange):
        exchange.send(
            b"HTTP/1.1 200 OK\r\nX-Zinniadyke-Request-Id: r1\r\n"
            b"X-Zinniadyke-Server-Stamp: s\r\nContent-Length: 2\r\n"
            b"X-Zinniadyke-Server-Load: "
            + load.encode("latin-1")
            + b"\r\n\r\nok"
        )

    with deploy.deployment(script) as system:
        status, _, body, _ = system.ask("/once/x")
        assert (status, body) == (200, b"ok")


@pytest.mark.parametrize("number", [b"\xb2", b"9" * 5000])
def test_unreadable_event_ids_cost_no_stream(number):
    def script(exchange):
        exchange.head(
            200, "Transfer-Encoding: chunked", Content_Type="text/event-stream"
        )
        exchange.chunk(b"id: " + number + b"\ndata: a\n\n")
        exchange.chunk(b"")

    with deploy.deployment(script) as system:
        status, _, _, complete = system.ask("/stream/x", Last_Event_Id="\xb2")
        assert (status, complete) == (200, True)


def test_service_whose_shares_are_all_zero_is_refused():
    routes = [
        deploy.route("none", traffic_split=[{"service": "desk", "weight": 0}])
    ]
    spec = deploy.configuration(routes=routes)
    with deploy.deployment(lambda e: e.answer(), spec=spec) as system:
        assert system.ask("/none/x")[0] == 503


def test_entry_reads_reports_after_one_that_fails(monkeypatch):
    with deploy.deployment(lambda e: e.answer()) as system:
        listener = system.gateway.load_listener
        applied = []

        def apply_report(report):
            applied.append(report)
            if len(applied) == 1:
                raise OverflowError

        monkeypatch.setattr(listener, "_apply_report", apply_report)
        report = reports.LoadReport(
            address="a:1",
            born_ms=0,
            running=0,
            waiting=0,
            entries=1,
            switching=False,
            switch_in_ms=None,
            weights={},
            named={},
        )
        with socket.socket(type=socket.SOCK_DGRAM) as sender:
            for data in (b"\xc1junk", reports.encode(report)) * 2:
                sender.sendto(data, listener.sock.getsockname())
        assert deploy.wait_until(lambda: len(applied) == 2)


def test_agent_reads_messages_after_one_that_fails():
    reporter = _load_reporter.LoadReporter(
        ip="127.0.0.1",
        port=deploy.free_port(),
        region="r1",
        address="a:1",
        target=platform.ModelServerClient(address="127.0.0.1:1"),
        view=directory.View(),
    )
    handled = []

    def handle(message, sender):
        handled.append(message)
        raise KeyError

    reporter.handlers[reports.PieceQuery] = handle
    task = eventlet.spawn(reporter.receive)
    query = reports.encode(reports.PieceQuery(model="m", version=1))
    with socket.socket(type=socket.SOCK_DGRAM) as sender:
        for data in (b"\xc1junk", query, query):
            sender.sendto(data, reporter.sock.getsockname())
    assert deploy.wait_until(lambda: len(handled) == 2)
    task.kill()
    reporter.sock.close()


def test_follower_goes_on_after_an_unexpected_error():
    store = fakes.FakeStore()
    view = directory.View()
    follower = platform.follow_configuration(
        platform.StoreClient(address=store.address), view
    )
    failures = [RuntimeError("unexpected")]

    def fail_once():
        if failures:
            raise failures.pop()

    view.on_change.append(fail_once)
    store.put("config", "main", CONFIGURATION)
    task = eventlet.spawn(follower.run)
    assert deploy.wait_until(lambda: not failures)
    store.put("config", "main", deploy.configuration(version=2))
    assert deploy.wait_until(lambda: view.configuration.version == 2)
    task.kill()
    store.stop()
