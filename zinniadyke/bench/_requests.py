"""Bench of requests: what an entry adds to the engine's own time."""

import json
import random
import time

import eventlet

import msgspec
import urllib3

from zinniadyke.bench import _bound
from zinniadyke.bench import _one_entry
from zinniadyke import demo
from zinniadyke import requests

KIB = 1024
MAX_ADDED_P50_MS = 5.0
MAX_ADDED_P99_MS = 20.0
CALL_TIMEOUT_S = 30.0
PROMPT = {"model": "drafting", "prompt": "a claim"}
FLEET = """
service drafting {{ kind = model slots = 64 }}
model drafting {{ service = drafting }}
workspace intake {{ tokens = ["{token}"] }}
route drafting of intake {{ model = drafting }}
"""


class RequestsOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the requests bench.

    Attributes
    ----------
    rate
        Requests a second through the entry; as many go to the engines
        directly, side by side.
    """

    rate: float = 195.0
    seconds: float = 10.0
    targets: int = 6
    checks_fencing: bool = True
    seed: int = 1


class RequestsResult(msgspec.Struct, kw_only=True):
    """Latencies in milliseconds, through the entry and direct."""

    rate: float
    through: dict
    direct: dict
    added_p50_ms: float
    added_p99_ms: float
    failed: int

    def bounds(self) -> list[_bound.Bound]:
        """Return the stated limits with what was measured."""
        return [
            _bound.Bound(
                name="added at p50, ms",
                limit=MAX_ADDED_P50_MS,
                value=self.added_p50_ms,
            ),
            _bound.Bound(
                name="added at p99, ms",
                limit=MAX_ADDED_P99_MS,
                value=self.added_p99_ms,
            ),
            _bound.Bound(name="failed", limit=0, value=self.failed),
        ]


class OpenLoop:
    """Sends requests at exponential intervals, whatever comes back."""

    def __init__(self, *, rate: float, seed: int, send) -> None:
        """Hold the plan; ``run`` sends."""
        self.rate = rate
        self.random = random.Random(seed)
        self.send = send
        self.histograms = requests.Histograms()
        self.failed = 0
        self.tasks = eventlet.GreenPool(2000)

    def run(self, seconds: float) -> None:
        """Send for a time, then wait for what is in progress."""
        end = time.monotonic() + seconds
        begun = time.monotonic()
        for due in _one_entry.arrivals(self.rate, begun, self.random):
            self.tasks.spawn_n(self._one, due)
            if due >= end:
                break
        self.tasks.waitall()

    def _one(self, due: float) -> None:
        try:
            ok = self.send() == 200
        except urllib3.exceptions.HTTPError:
            ok = False
        self.failed += not ok
        self.histograms.record("bench", "any", time.monotonic() - due)


def run_requests(options: RequestsOptions) -> RequestsResult:
    """Measure requests through one entry and direct calls in one run."""
    cluster = _one_entry.build_cluster(
        targets=options.targets,
        classes=["clerk"],
        checks_fencing=options.checks_fencing,
        seed=options.seed,
    )
    try:
        _prepare(cluster, options)
        return _measure(cluster, options)
    finally:
        cluster.stop()


def _prepare(cluster, options: RequestsOptions) -> None:
    cluster.start()
    token = requests.hash_token(demo.demo_token("intake"))
    release = cluster.release("1", 4 * KIB, KIB)
    text = FLEET.format(token=token)
    if options.checks_fencing:
        text = text.replace("slots", "checks_fencing = true slots")
    text += release.declaration + cluster.rollout_declaration("1", 1)
    _one_entry.declare(cluster, text)


def _measure(cluster, options: RequestsOptions) -> RequestsResult:
    pool = urllib3.PoolManager(maxsize=256, retries=False)
    body = json.dumps(PROMPT)
    token = demo.demo_token("intake")
    chosen = random.Random(options.seed)
    engines = [engine.url for engine in cluster.engines.values()]

    def post(url: str) -> int:
        return pool.request(
            "POST",
            url + "/v1/completions",
            body=body,
            headers={"Authorization": f"Bearer {token}"},
            timeout=CALL_TIMEOUT_S,
        ).status

    loops = [
        OpenLoop(
            rate=options.rate,
            seed=options.seed,
            send=lambda: post(cluster.entries[0].url),
        ),
        OpenLoop(
            rate=options.rate,
            seed=options.seed + 1,
            send=lambda: post(chosen.choice(engines)),
        ),
    ]
    tasks = [eventlet.spawn(loop.run, options.seconds) for loop in loops]
    for task in tasks:
        task.wait()
    through, direct = (loop.histograms.rows()[0] for loop in loops)
    return RequestsResult(
        rate=options.rate,
        through=through,
        direct=direct,
        added_p50_ms=through["p50_ms"] - direct["p50_ms"],
        added_p99_ms=through["p99_ms"] - direct["p99_ms"],
        failed=sum(loop.failed for loop in loops),
    )
