"""Open-loop load of several request streams, and its result."""

import collections
import json
import random
import time

import eventlet

import msgspec
import urllib3

from zinniadyke.bench import _single_entry
from zinniadyke import demo
from zinniadyke import requests

CALL_TIMEOUT_S = 60.0


class RequestStream(msgspec.Struct, frozen=True, kw_only=True):
    """Request stream of one workspace and class.

    Attributes
    ----------
    label
        Key under which its results are counted.
    load
        Request rate as a share of the capacity.
    """

    workspace: str
    request_class: str
    label: str
    load: float


class LoadResult(msgspec.Struct, kw_only=True):
    """Result of one load.

    Attributes
    ----------
    offered, goodput
        Requests sent, and answered with status 200, during the load; as
        shares of the capacity.
    p99_ms
        Latency of answered requests, by class or by kind of workspace.
    refused
        Requests that were answered with ``not run``.
    """

    offered: float
    goodput: float
    p99_ms: dict[str, float]
    refused: dict[str, int]
    failed: int


class LoadGenerator:
    """Sends request streams for a given time and counts the responses."""

    def __init__(self, *, url: str, capacity_per_s: float, seed: int) -> None:
        """Store the parameters; ``run`` sends the requests."""
        self.url = url
        self.capacity_per_s = capacity_per_s
        self.random = random.Random(seed)
        self.http_pool = urllib3.PoolManager(maxsize=512, retries=False)
        self.histograms = requests.Histograms()
        self.tasks = eventlet.GreenPool(4000)
        self.sent = self.answered_in_time = self.failed = 0
        self.refused: collections.Counter = collections.Counter()
        self.end_time = 0.0

    def run(
        self, streams: list[RequestStream], duration_s: float
    ) -> LoadResult:
        """Send all streams and return the result."""
        self.end_time = time.monotonic() + duration_s
        senders = [
            eventlet.spawn(self._send_stream, stream) for stream in streams
        ]
        for sender in senders:
            sender.wait()
        self.tasks.waitall()
        capacity_requests = self.capacity_per_s * duration_s
        return LoadResult(
            offered=self.sent / capacity_requests,
            goodput=self.answered_in_time / capacity_requests,
            p99_ms={
                row["class"]: row["p99_ms"] for row in self.histograms.rows()
            },
            refused=dict(self.refused),
            failed=self.failed,
        )

    def _send_stream(self, stream: RequestStream) -> None:
        rate_per_s = stream.load * self.capacity_per_s
        start_time = time.monotonic()
        for due_time in _single_entry.poisson_arrivals(
            rate_per_s, start_time, self.random
        ):
            if due_time >= self.end_time:
                break
            self.sent += 1
            self.tasks.spawn_n(self._send_request, stream, due_time)

    def _send_request(self, stream: RequestStream, due_time: float) -> None:
        headers = {
            "Authorization": f"Bearer {demo.demo_token(stream.workspace)}",
            "Zinniadyke-Class": stream.request_class,
        }
        try:
            response = self.http_pool.request(
                "POST",
                self.url + "/v1/completions",
                body=json.dumps({"model": "drafting", "prompt": "a claim"}),
                headers=headers,
                timeout=CALL_TIMEOUT_S,
            )
        except urllib3.exceptions.HTTPError:
            self.failed += 1
            return
        now = time.monotonic()
        if response.status == 200:
            self.answered_in_time += now <= self.end_time
            self.histograms.record("bench", stream.label, now - due_time)
        elif response.headers.get("Zinniadyke-Ran") == "not run":
            self.refused[stream.label] += 1
        else:
            self.failed += 1
