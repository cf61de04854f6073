"""Requests parsed from bytes that arrive in any parts."""

import hypothesis
from hypothesis import strategies
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke.gateway import _memory_budget
from zinniadyke.gateway import _request
from zinniadyke.gateway import _request_parser

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
        limits=directory.CallerLimits(), memory=memory
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
    assert memory.held == sum(len(r[2]) for r in requests)


@hypothesis.given(
    strategies.lists(strategies.sampled_from(MESSAGES), min_size=1),
    strategies.lists(strategies.integers(0, 700)),
)
def test_any_split_of_requests_into_reads_gives_the_same(messages, cuts):
    data = b"".join(messages)
    bounds = sorted({0, len(data), *(c for c in cuts if c < len(data))})
    parts = [data[a:b] for a, b in zip(bounds, bounds[1:], strict=False)]
    assert parse(parts)[0] == [parse([m])[0][0] for m in messages]


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
