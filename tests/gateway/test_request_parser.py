"""Requests parsed from bytes that arrive in any parts."""

import tracemalloc

import hypothesis
from hypothesis import strategies
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _request
from zinniadyke.gateway import _request_parser

SETTINGS = hypothesis.settings(
    derandomize=True, deadline=None, max_examples=200, database=None
)
# Real growth of the process for each byte that is counted; a quarter of its
# memory is for what is counted.
MAX_GROWTH = 3
SLACK_BYTES = 100_000
OFFER = b"Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
PLAIN = b"POST /a HTTP/1.1\r\nHost: h\r\nContent-Length: 5\r\n\r\nhello"
CHUNKED = (
    b"POST /b HTTP/1.1\r\nHost: h\r\nTransfer-Encoding: chunked\r\n%b\r\n"
    b"3\r\nabc\r\n2;x=y\r\nde\r\n0\r\nT: v\r\n\r\n"
)
BODILESS = b"GET /c HTTP/1.1\r\nHost: h\r\n%b\r\n"
MESSAGES = [
    PLAIN,
    PLAIN.replace(b"Host: h\r\n", b"Host: h\r\n" + OFFER),
    CHUNKED % b"",
    CHUNKED % OFFER,
    BODILESS % b"",
    BODILESS % OFFER,
]


def parse(parts):
    """Return the parsed requests, as comparable tuples, and the account."""
    memory = _memory_budget.MemoryBudget(limit_bytes=float("inf"))
    parser = _request_parser.RequestParser(
        read_limits=directory.CallerLimits, memory=memory
    )
    for part in parts:
        parser.feed(part)
    return [as_tuple(r) for r in parser.parsed], memory


def as_tuple(request):
    if isinstance(request, _request.RejectedRequest):
        return (request.status,)
    return (request.method, request.target, request.body, request.keep_alive)


@pytest.mark.parametrize("message", MESSAGES)
def test_offer_of_an_upgrade_costs_neither_body_nor_connection(message):
    requests, memory = parse([message + PLAIN])
    bodies = {b"/a": b"hello", b"/b": b"abcde", b"/c": b""}
    assert [r[2] for r in requests] == [bodies[requests[0][1]], b"hello"]
    assert all(r[3] for r in requests)
    body_bytes = sum(len(r[2]) for r in requests)
    assert body_bytes <= memory.held <= body_bytes + 2000


@SETTINGS
@hypothesis.given(
    strategies.lists(strategies.sampled_from(MESSAGES), min_size=1),
    strategies.lists(strategies.integers(0, 700)),
)
def test_any_split_of_requests_into_reads_gives_the_same(messages, cuts):
    data = b"".join(messages)
    bounds = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    parts = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    assert parse(parts)[0] == [parse([m])[0][0] for m in messages]


@SETTINGS
@hypothesis.given(strategies.lists(strategies.binary()))
def test_any_bytes_end_in_requests_or_a_refusal(parts):
    requests, memory = parse(parts)
    bodies = [r[2] for r in requests if len(r) > 1]
    assert memory.held >= sum(map(len, bodies))


@pytest.mark.parametrize(
    "head",
    [
        b"CONNECT h:80 HTTP/1.1\r\nHost: h\r\n\r\n",
        b"POST /a HTTP/1.1\r\nHost: h\r\n"
        b"Transfer-Encoding: gzip, chunked\r\n\r\n0\r\n\r\n",
    ],
)
def test_what_is_not_supported_is_refused(head):
    assert parse([head + PLAIN])[0] == [(501,)]


def test_request_that_offers_an_upgrade_reaches_its_target_whole():
    def echo(exchange):
        names = {"connection", "upgrade", "http2-settings"}
        assert not names & exchange.headers.keys()
        exchange.answer(200, exchange.body)

    with deploy.deployment(echo) as system:
        for _ in range(2):
            status, _, body, _ = system.ask(
                "/once/x",
                body=b"hello",
                Connection="Upgrade, HTTP2-Settings",
                Upgrade="h2c",
                HTTP2_Settings="AAMAAABkAARAAAAAAAIAAAAA",
            )
            assert (status, body) == (200, b"hello")


def small_chunks():
    yield CHUNKED.partition(b"%b")[0] + b"\r\n"
    for _ in range(1 << 14):
        yield b"10\r\n0123456789abcdef\r\n" * 8


def small_fields():
    yield b"GET / HTTP/1.1\r\nHost: h\r\n"
    for number in range(2000):
        yield b"a%d:b\r\n" % number


def trailers():
    yield CHUNKED.partition(b"%b")[0] + b"\r\n1\r\na\r\n0\r\n"
    for number in range(100_000):
        yield b"trailer-%d: of a body that is very short\r\n" % number


def extensions():
    yield CHUNKED.partition(b"%b")[0] + b"\r\n1;"
    for _ in range(100_000):
        yield b"an-extension-of-a-chunk=1;"


def pipelined():
    yield (BODILESS % b"") * 20_000


@pytest.mark.parametrize(
    "parts", [small_chunks, small_fields, trailers, extensions, pipelined]
)
def test_memory_of_requests_stays_within_what_is_counted(parts):
    memory = _memory_budget.MemoryBudget(limit_bytes=float("inf"))
    parser = _request_parser.RequestParser(
        read_limits=directory.CallerLimits, memory=memory
    )
    tracemalloc.start()
    try:
        most = 0
        for number, part in enumerate(parts()):
            parser.feed(part)
            if number % 64 == 0 or parser.ended:
                grown = tracemalloc.get_traced_memory()[0]
                most = max(most, grown - MAX_GROWTH * memory.held)
    finally:
        tracemalloc.stop()
    assert most <= SLACK_BYTES


def test_large_head_with_an_offer_of_an_upgrade_is_counted_once():
    memory = _memory_budget.MemoryBudget(limit_bytes=float("inf"))
    parser = _request_parser.RequestParser(
        read_limits=directory.CallerLimits, memory=memory
    )
    fields = b"".join(b"x-%d: y\r\n" % n for n in range(200))
    parser.feed(PLAIN.replace(b"Host: h\r\n", b"Host: h\r\n" + OFFER + fields))
    (request,) = parser.parsed
    assert memory.held == request.held_bytes > 0


def test_trailers_are_no_headers():
    memory = _memory_budget.MemoryBudget(limit_bytes=float("inf"))
    parser = _request_parser.RequestParser(
        read_limits=directory.CallerLimits, memory=memory
    )
    parser.feed(CHUNKED % b"")
    assert [name for name, _ in parser.parsed[0].headers] == [
        b"host",
        b"transfer-encoding",
    ]
