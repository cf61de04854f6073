"""Bench of a rollout: real agents on loopback with paced links."""

import resource
import time

import eventlet

import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _strategies
from zinniadyke import demo
from zinniadyke import errors
from zinniadyke import objects
from zinniadyke import requests

MIB = 1 << 20
MAX_COPIES_ORIGIN = 1.05
MAX_COPIES = 4.0
MAX_RATIO = 1.25
WANTED_S = 16.0
ORIGIN_COPIES_IN_TIME = 4
HOST_COPIES_IN_TIME = 2
CHUNKS = 96
LIMIT_S = 300.0
POLL_S = 0.02
ZONES = ["cairo", "alexandria", "asyut"]
FLEET = """
service drafting {{ kind = model }}
model drafting {{ service = drafting }}
workspace intake {{ tokens = ["{token}"] }}
route drafting of intake {{ model = drafting }}
"""


class RolloutOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the rollout bench.

    Attributes
    ----------
    size
        Bytes of the version.
    strategy
        Name of the way chunks are distributed.
    wanted_s
        Time in which a host's link carries two copies, in seconds.
    """

    hosts: int
    size: int = 8 * MIB
    favour: objects.Favour = objects.Favour.ORIGIN
    strategy: str = "tree"
    wanted_s: float = WANTED_S
    chunks: int = CHUNKS
    seed: int = 1


class RolloutResult(msgspec.Struct, kw_only=True):
    """Figures of one rollout.

    Attributes
    ----------
    staged_s
        Time until each number of hosts held all bytes, in seconds.
    serving_s
        Time until each number of replicas served, in seconds.
    ratio
        Time to all staged over the fluid lower bound.
    busiest_upload
        Copies sent by the busiest host.
    """

    hosts: int
    size: int
    favour: str
    strategy: str
    bound_s: float
    staged_s: list[float]
    serving_s: list[float]
    ratio: float
    half_over_all: float
    origin_copies: float
    cross_zone_copies: float
    busiest_upload: float
    messages_per_host_chunk: float
    control_bytes_per_host_chunk: float
    cpu_s_per_gib: float

    def bounds(self) -> list[_bound.Bound]:
        """Return the stated limits with what was measured."""
        is_origin = self.favour == objects.Favour.ORIGIN.value
        return [
            _bound.Bound(
                name="copies read from the origin",
                limit=MAX_COPIES_ORIGIN if is_origin else MAX_COPIES,
                value=self.origin_copies,
            ),
            _bound.Bound(
                name="time to all over the fluid bound",
                limit=MAX_RATIO,
                value=self.ratio,
            ),
        ]


def run_rollout(options: RolloutOptions) -> RolloutResult:
    """Run one rollout to hosts that serve nothing yet.

    Raises
    ------
    UserError
        The rollout did not end in time.
    """
    rate = options.size / MIB / options.wanted_s
    deployment = demo.Deployment(
        name="bench",
        region="egypt",
        zones=ZONES,
        model="drafting",
        model_service=demo.ServiceSpec(name="drafting", targets=options.hosts),
        plain_services=[],
        classes=["clerk"],
        checks_fencing=True,
        favour=options.favour,
        floor=1,
        entries=1,
    )
    cluster = demo.Cluster(
        deployment=deployment,
        seed=options.seed,
        link_mib_s=HOST_COPIES_IN_TIME * rate,
        origin_mib_s=ORIGIN_COPIES_IN_TIME * rate,
    )
    try:
        return _measure(cluster, options)
    finally:
        cluster.stop()


def _measure(cluster, options: RolloutOptions) -> RolloutResult:
    chunk_size = max(1, -(-options.size // options.chunks))
    for agent in cluster.agents.values():
        agent.stager.choose = _strategies.STRATEGIES[options.strategy]
        for bucket in (
            agent.chunks.upload_bucket,
            agent.stager.download_bucket,
        ):
            bucket.burst_bytes = chunk_size
    cluster.start()
    token = requests.hash_token("zd.intake.bench")
    cluster.operator_client().send("apply", FLEET.format(token=token))
    _wait(lambda: all(_ready(a) for a in cluster.agents.values()))
    release = cluster.release("1", options.size, chunk_size)
    before = _sent(cluster)
    cpu_before = _cpu_s()
    begun = time.monotonic()
    cluster.operator_client().send(
        "apply", release.declaration + cluster.rollout_declaration("1", 1)
    )
    staged, serving = _follow(cluster, options.hosts, begun)
    cpu_s = _cpu_s() - cpu_before
    after = _sent(cluster)
    return _result(cluster, options, staged, serving, before, after, cpu_s)


def _ready(agent) -> bool:
    stager = agent.stager
    return stager.engine_checked.ready() and agent.node.store.revision > 0


def _follow(
    cluster, hosts: int, begun: float
) -> tuple[list[float], list[float]]:
    staged: list[float] = []
    serving: list[float] = []

    def all_serving() -> bool:
        elapsed = time.monotonic() - begun
        held = sum(bool(a.stager.staged()) for a in cluster.agents.values())
        staged.extend([elapsed] * (held - len(staged)))
        count = len(cluster.serving("1"))
        serving.extend([elapsed] * (count - len(serving)))
        return count >= hosts

    _wait(all_serving)
    return staged, serving


def _wait(condition) -> None:
    deadline = time.monotonic() + LIMIT_S
    while not condition():
        if time.monotonic() > deadline:
            raise errors.UserError(
                f"the bench did not end in {LIMIT_S:g} s",
                code=errors.ResultCode.WAIT_TIMEOUT,
            )
        eventlet.sleep(POLL_S)


def _sent(cluster) -> dict[str, tuple[int, int]]:
    return {
        name: (agent.node.server.messages_sent, agent.node.server.bytes_sent)
        for name, agent in cluster.agents.items()
    }


def _cpu_s() -> float:
    used = resource.getrusage(resource.RUSAGE_SELF)
    return used.ru_utime + used.ru_stime


def _result(
    cluster, options, staged, serving, before, after, cpu_s
) -> RolloutResult:
    hosts, size = options.hosts, options.size
    counts = [
        agent.stager.fetchers["drafting/1"].counts
        for agent in cluster.agents.values()
    ]
    sent = {n: after[n][1] - before[n][1] for n in after}
    messages = sum(after[n][0] - before[n][0] for n in after)
    bulk = sum(c.same_zone + c.other_zone for c in counts)
    per = hosts * options.chunks
    bound_s = fluid_bound_s(size, hosts, options.wanted_s)
    return RolloutResult(
        hosts=hosts,
        size=size,
        favour=options.favour.value,
        strategy=options.strategy,
        bound_s=bound_s,
        staged_s=[round(t, 3) for t in staged],
        serving_s=[round(t, 3) for t in serving],
        ratio=staged[-1] / bound_s,
        half_over_all=serving[(hosts - 1) // 2] / serving[-1],
        origin_copies=cluster.origin_copies("1"),
        cross_zone_copies=sum(c.other_zone for c in counts) / size,
        busiest_upload=max(sent.values()) / size,
        messages_per_host_chunk=messages / per,
        control_bytes_per_host_chunk=(sum(sent.values()) - bulk) / per,
        cpu_s_per_gib=cpu_s / (hosts * size / (1 << 30)),
    )


def fluid_bound_s(size: int, hosts: int, wanted_s: float) -> float:
    """Return the least time for all hosts to hold all bytes, in seconds.

    With fluid flow it is set by a host's link down, by the origin's link
    for one copy, and by all links up together.
    """
    rate = size / wanted_s
    link = HOST_COPIES_IN_TIME * rate
    source = ORIGIN_COPIES_IN_TIME * rate
    return max(
        size / link, size / source, hosts * size / (source + hosts * link)
    )
