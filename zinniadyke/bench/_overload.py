"""Bench of classes and workspaces while a service is over its capacity."""

import json
import random
import time

import eventlet

import msgspec
import urllib3

from zinniadyke.bench import _bound
from zinniadyke.bench import _ceilings
from zinniadyke import demo
from zinniadyke import entry
from zinniadyke import fakes
from zinniadyke import objects
from zinniadyke import requests

KIB = 1024
SLOTS = 4
SERVICE_S = 0.25
# With equal times the slots come free in clumps, as no engine's do.
PACE_SPREAD = 0.5
LOW_LOAD = 0.5
HIGH_LOAD = 1.3
FAIR_LOAD = 0.6
WORKSPACES = 5
NOISY_FACTOR = 10
MAX_CRITICAL_RATIO = 1.5
MAX_OTHERS_RATIO = 1.2
MIN_GOODPUT = 0.9
POLL_S = 0.02
CALL_TIMEOUT_S = 60.0
CRITICAL, STANDARD, BACKGROUND = "critical", "standard", "background"
TWO_CLASSES = {CRITICAL: 0.3, STANDARD: 0.7}
THREE_CLASSES = {CRITICAL: 0.3, STANDARD: 0.4, BACKGROUND: 0.3}
CEILING_LOADS = (0.6, 0.8, 1.0, 1.3)
NOISY, OTHER = "noisy", "other"
FLEET = """
service drafting { kind = model slots = %d checks_fencing = true }
model drafting { service = drafting }
"""
WORKSPACE = """
workspace {name} {{ tokens = ["{token}"] }}
route critical of {name} {{
    model = drafting classes = [critical] priority = 0
}}
route standard of {name} {{
    model = drafting classes = [standard] priority = 1
}}
route background of {name} {{
    model = drafting classes = [background] priority = 2
}}
"""


class OverloadOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the overload bench.

    Attributes
    ----------
    seconds
        Length of each of the four loads.
    """

    seconds: float = 30.0
    targets: int = 4
    seed: int = 1


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


class OverloadResult(msgspec.Struct, kw_only=True):
    """Two loads of classes, and two of workspaces."""

    capacity_per_s: float
    low: LoadResult
    high: LoadResult
    even: LoadResult
    noisy: LoadResult

    def bounds(self) -> list[_bound.Bound]:
        """Return the stated limits with what was measured."""
        critical = self.high.p99_ms[CRITICAL] / self.low.p99_ms[CRITICAL]
        others = self.noisy.p99_ms[OTHER] / self.even.p99_ms[OTHER]
        loads = (self.low, self.high, self.even, self.noisy)
        return [
            _bound.Bound(
                name="p99 of critical at 1.3 to 0.5 of capacity",
                limit=MAX_CRITICAL_RATIO,
                value=critical,
            ),
            _bound.Bound(
                name="capacity lost at 1.3",
                limit=1 - MIN_GOODPUT,
                value=1 - self.high.goodput,
            ),
            _bound.Bound(
                name="p99 of others beside a workspace at 10 times its share",
                limit=MAX_OTHERS_RATIO,
                value=others,
            ),
            _bound.Bound(
                name="failed",
                limit=0,
                value=sum(load.failed for load in loads),
            ),
        ]


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
        self.refused = {}
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
            refused=self.refused,
            failed=self.failed,
        )

    def _loop(self, stream: Stream) -> None:
        rate = stream.load * self.capacity_per_s
        due = time.monotonic() + self.random.expovariate(rate)
        while due < self.end:
            eventlet.sleep(max(0.0, due - time.monotonic()))
            self.sent += 1
            self.tasks.spawn_n(self._call, stream, due)
            due += self.random.expovariate(rate)

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
            seen = self.refused.get(stream.label, 0)
            self.refused[stream.label] = seen + 1
        else:
            self.failed += 1


def class_streams(load: float, parts: dict[str, float]) -> list[Stream]:
    """Return the classes of one workspace; ``parts`` add up to 1."""
    return [
        Stream(workspace=OTHER, request_class=c, label=c, load=part * load)
        for c, part in parts.items()
    ]


def workspace_streams(factor: float) -> list[Stream]:
    """Return even workspaces, one of them ``factor`` times its share."""
    share = FAIR_LOAD / WORKSPACES
    others = [OTHER] + [f"{OTHER}-{i}" for i in range(2, WORKSPACES)]
    streams = [
        Stream(workspace=name, request_class=STANDARD, label=OTHER, load=share)
        for name in others
    ]
    noisy = Stream(
        workspace=NOISY,
        request_class=STANDARD,
        label=NOISY,
        load=share * factor,
    )
    return [*streams, noisy]


class Overload:
    """A fleet that takes one load after another.

    Parameters
    ----------
    options
        Size of the fleet and length of each load.
    """

    def __init__(self, *, options: OverloadOptions) -> None:
        """Start the fleet."""
        self.options = options
        self.cluster = _cluster(options)
        self.capacity_per_s = options.targets * SLOTS / SERVICE_S
        _prepare(self.cluster)

    @property
    def pool(self) -> entry.TargetPool:
        """The entry's pool of targets."""
        return self.cluster.entries[0].requests.pools["drafting"]

    def run(self, streams: list[Stream]) -> LoadResult:
        """Run one load."""
        load = Load(
            url=self.cluster.entries[0].url,
            capacity_per_s=self.capacity_per_s,
            seed=self.options.seed,
        )
        return load.run(streams, self.options.seconds)


def run_overload(options: OverloadOptions) -> OverloadResult:
    """Measure classes and workspaces below and above the capacity."""
    overload = Overload(options=options)
    try:
        return OverloadResult(
            capacity_per_s=overload.capacity_per_s,
            low=overload.run(class_streams(LOW_LOAD, TWO_CLASSES)),
            high=overload.run(class_streams(HIGH_LOAD, TWO_CLASSES)),
            even=overload.run(workspace_streams(1)),
            noisy=overload.run(workspace_streams(NOISY_FACTOR)),
        )
    finally:
        overload.cluster.stop()


class CeilingResult(msgspec.Struct, kw_only=True):
    """One load under one ceiling."""

    classes: int
    load: float
    ceiling: str
    result: LoadResult


def run_ceilings(options: OverloadOptions) -> list[CeilingResult]:
    """Measure all ceilings at all loads, with two and three classes."""
    overload = Overload(options=options)
    try:
        return [
            _run_ceiling(overload, parts, load, name)
            for parts in (TWO_CLASSES, THREE_CLASSES)
            for load in CEILING_LOADS
            for name in _ceilings.CEILINGS
        ]
    finally:
        overload.cluster.stop()


def _run_ceiling(
    overload: Overload, parts: dict[str, float], load: float, name: str
) -> CeilingResult:
    queue = _ceilings.CeilingQueue(
        pool=overload.pool,
        ceiling=_ceilings.CEILINGS[name],
        classes=len(parts),
    )
    overload.pool.queue = queue
    try:
        result = overload.run(class_streams(load, parts))
    finally:
        queue.task.kill()
    return CeilingResult(
        classes=len(parts), load=load, ceiling=name, result=result
    )


def _cluster(options: OverloadOptions) -> demo.Cluster:
    deployment = demo.Deployment(
        name="bench",
        region="egypt",
        zones=["cairo"],
        model="drafting",
        model_service=demo.ServiceSpec(
            name="drafting", targets=options.targets
        ),
        plain_services=[],
        classes=list(THREE_CLASSES),
        checks_fencing=True,
        favour=objects.Favour.ORIGIN,
        floor=0,
        entries=1,
    )
    return demo.Cluster(deployment=deployment, seed=options.seed)


def _prepare(cluster: demo.Cluster) -> None:
    for engine in cluster.engines.values():
        engine.seconds_per_word = SERVICE_S / fakes.WORDS_PER_ANSWER
        engine.pace_spread = PACE_SPREAD
    cluster.start()
    release = cluster.release("1", 4 * KIB, KIB)
    text = FLEET % SLOTS + release.declaration + cluster.rollout("1", 1)
    names = [NOISY, OTHER] + [f"{OTHER}-{i}" for i in range(2, WORKSPACES)]
    for name in names:
        token = requests.hash_token(demo.demo_token(name))
        text += WORKSPACE.format(name=name, token=token)
    cluster.operator().send("apply", text)
    while not cluster.sees_all(cluster.entries[0]):
        eventlet.sleep(POLL_S)
