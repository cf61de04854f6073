"""One open-loop load of several streams, and what came of it."""

import collections
import json
import random
import time

import eventlet

import msgspec
import urllib3

from zinniadyke.bench import _one_entry
from zinniadyke import demo
from zinniadyke import requests

CALL_TIMEOUT_S = 60.0


class Stream(msgspec.Struct, frozen=True, kw_only=True):
    """Requests of one workspace and class.

    Attributes
    ----------
    label
        What it is counted as.
    load
        Part of the capacity.
    """

    workspace: str
    request_class: str
    label: str
    load: float


class LoadResult(msgspec.Struct, kw_only=True):
    """One load.

    Attributes
    ----------
    offered, goodput
        Requests sent, and answered well, while it lasted; as parts of the
        capacity.
    p99_ms
        By class or by kind of workspace, of answered requests.
    refused
        Requests that were told ``not run``.
    """

    offered: float
    goodput: float
    p99_ms: dict[str, float]
    refused: dict[str, int]
    failed: int


class Load:
    """Sends some streams for a time and counts the answers."""

    def __init__(self, *, url: str, capacity_per_s: float, seed: int) -> None:
        """Hold the plan; ``run`` sends."""
        self.url = url
        self.capacity_per_s = capacity_per_s
        self.random = random.Random(seed)
        self.pool = urllib3.PoolManager(maxsize=512, retries=False)
        self.histograms = requests.Histograms()
        self.tasks = eventlet.GreenPool(4000)
        self.sent = self.done = self.failed = 0
        self.refused: collections.Counter = collections.Counter()
        self.end = 0.0

    def run(self, streams: list[Stream], seconds: float) -> LoadResult:
        """Send; return what was seen."""
        self.end = time.monotonic() + seconds
        loops = [eventlet.spawn(self._loop, stream) for stream in streams]
        for loop in loops:
            loop.wait()
        self.tasks.waitall()
        whole = self.capacity_per_s * seconds
        return LoadResult(
            offered=self.sent / whole,
            goodput=self.done / whole,
            p99_ms={
                row["class"]: row["p99_ms"] for row in self.histograms.rows()
            },
            refused=dict(self.refused),
            failed=self.failed,
        )

    def _loop(self, stream: Stream) -> None:
        rate = stream.load * self.capacity_per_s
        begun = time.monotonic()
        for due in _one_entry.arrivals(rate, begun, self.random):
            if due >= self.end:
                break
            self.sent += 1
            self.tasks.spawn_n(self._call, stream, due)

    def _call(self, stream: Stream, due: float) -> None:
        headers = {
            "Authorization": f"Bearer {demo.demo_token(stream.workspace)}",
            "Zinniadyke-Class": stream.request_class,
        }
        try:
            answer = self.pool.request(
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
        if answer.status == 200:
            self.done += now <= self.end
            self.histograms.record("bench", stream.label, now - due)
        elif answer.headers.get("Zinniadyke-Ran") == "not run":
            self.refused[stream.label] += 1
        else:
            self.failed += 1
