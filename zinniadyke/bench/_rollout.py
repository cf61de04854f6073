"""Rollout benchmark: real agents on loopback with rate-limited links."""

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
MAX_ORIGIN_COPIES_FAVOUR_ORIGIN = 1.05
MAX_ORIGIN_COPIES_FAVOUR_TIME = 4.0
MAX_TIME_RATIO = 1.25
WANTED_S = 16.0
# Copies of the version that a link carries within the wanted time.
ORIGIN_LINK_COPIES = 4
HOST_LINK_COPIES = 2
CHUNK_COUNT = 96
TIMEOUT_S = 300.0
POLL_INTERVAL_S = 0.02
ZONES = ["cairo", "alexandria", "asyut"]
FLEET_DECLARATIONS = """
service drafting {{ kind = model }}
model drafting {{ service = drafting }}
workspace intake {{ tokens = ["{token}"] }}
route drafting of intake {{ model = drafting }}
"""


class RolloutOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the rollout benchmark.

    Attributes
    ----------
    size
        Size of the version, in bytes.
    strategy
        Name of the chunk distribution strategy.
    wanted_s
        Time in which a host's link transfers two copies, in seconds.
    """

    hosts: int
    size: int = 8 * MIB
    favour: objects.Favour = objects.Favour.ORIGIN
    strategy: str = "tree"
    wanted_s: float = WANTED_S
    chunks: int = CHUNK_COUNT
    seed: int = 1


class RolloutResult(msgspec.Struct, kw_only=True):
    """Results of one rollout.

    Attributes
    ----------
    staged_s
        Time until 1, 2, ... hosts had all bytes, in seconds.
    serving_s
        Time until 1, 2, ... replicas were serving, in seconds.
    ratio
        Time until all hosts were staged over the fluid lower bound.
    half_over_all
        Time until half of the replicas were serving, as a share of the
        time until all were.
    busiest_upload
        Number of copies sent by the busiest host.
    control_bytes_per_host_chunk
        Bytes that agents sent besides the chunks, per host and chunk.
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
        """Return the required limits and the measured values."""
        is_origin = self.favour == objects.Favour.ORIGIN.value
        return [
            _bound.Bound(
                name="copies read from the origin",
                limit=MAX_ORIGIN_COPIES_FAVOUR_ORIGIN
                if is_origin
                else MAX_ORIGIN_COPIES_FAVOUR_TIME,
                value=self.origin_copies,
            ),
            _bound.Bound(
                name="time to all over the fluid bound",
                limit=MAX_TIME_RATIO,
                value=self.ratio,
            ),
        ]


def run_rollout(options: RolloutOptions) -> RolloutResult:
    """Run one rollout to hosts that serve no version yet.

    Raises
    ------
    UserError
        The rollout did not end in time.
    """
    copy_rate = options.size / MIB / options.wanted_s
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
        link_mib_s=HOST_LINK_COPIES * copy_rate,
        origin_mib_s=ORIGIN_LINK_COPIES * copy_rate,
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
    cluster.operator_client().send(
        "apply", FLEET_DECLARATIONS.format(token=token)
    )
    _wait_until(lambda: all(_is_ready(a) for a in cluster.agents.values()))
    release = cluster.release("1", options.size, chunk_size)
    sent_before = _sent_by_host(cluster)
    cpu_before = _cpu_s()
    start_time = time.monotonic()
    cluster.operator_client().send(
        "apply", release.declaration + cluster.rollout_declaration("1", 1)
    )
    staged, serving = _record_progress(cluster, options.hosts, start_time)
    cpu_s = _cpu_s() - cpu_before
    sent_after = _sent_by_host(cluster)
    return _result(
        cluster, options, staged, serving, sent_before, sent_after, cpu_s
    )


def _is_ready(agent) -> bool:
    stager = agent.stager
    return stager.engine_checked.ready() and agent.node.store.revision > 0


def _record_progress(
    cluster, hosts: int, start_time: float
) -> tuple[list[float], list[float]]:
    staged: list[float] = []
    serving: list[float] = []

    def all_serving() -> bool:
        elapsed = time.monotonic() - start_time
        staged_count = sum(
            bool(a.stager.staged()) for a in cluster.agents.values()
        )
        staged.extend([elapsed] * (staged_count - len(staged)))
        serving_count = len(cluster.serving("1"))
        serving.extend([elapsed] * (serving_count - len(serving)))
        return serving_count >= hosts

    _wait_until(all_serving)
    return staged, serving


def _wait_until(condition) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
        if time.monotonic() > deadline:
            raise errors.UserError(
                f"the rollout benchmark did not end within {TIMEOUT_S:g} s",
                code=errors.ResultCode.WAIT_TIMEOUT,
            )
        eventlet.sleep(POLL_INTERVAL_S)


def _sent_by_host(cluster) -> dict[str, tuple[int, int]]:
    return {
        name: (agent.node.server.messages_sent, agent.node.server.bytes_sent)
        for name, agent in cluster.agents.items()
    }


def _cpu_s() -> float:
    usage = resource.getrusage(resource.RUSAGE_SELF)
    return usage.ru_utime + usage.ru_stime


def _result(
    cluster, options, staged, serving, sent_before, sent_after, cpu_s
) -> RolloutResult:
    hosts, size = options.hosts, options.size
    counts = [
        agent.stager.fetchers["drafting/1"].counts
        for agent in cluster.agents.values()
    ]
    sent = {n: sent_after[n][1] - sent_before[n][1] for n in sent_after}
    messages = sum(sent_after[n][0] - sent_before[n][0] for n in sent_after)
    chunk_bytes = sum(c.same_zone + c.other_zone for c in counts)
    host_chunks = hosts * options.chunks
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
        messages_per_host_chunk=messages / host_chunks,
        control_bytes_per_host_chunk=(sum(sent.values()) - chunk_bytes)
        / host_chunks,
        cpu_s_per_gib=cpu_s / (hosts * size / (1 << 30)),
    )


def fluid_bound_s(size: int, hosts: int, wanted_s: float) -> float:
    """Return the minimum time until all hosts have all bytes, in seconds.

    Assumes fluid flow. The limit is the download link of a host, the
    origin's link for one copy, or all upload links, including the
    origin's, together.
    """
    copy_rate = size / wanted_s
    host_rate = HOST_LINK_COPIES * copy_rate
    origin_rate = ORIGIN_LINK_COPIES * copy_rate
    return max(
        size / host_rate,
        size / origin_rate,
        hosts * size / (origin_rate + hosts * host_rate),
    )
