"""Runs the demo: declare, roll out while callers call, report."""

from collections.abc import Callable
import pathlib
import time

import eventlet
import msgspec

from zinniadyke.demo import _cluster
from zinniadyke.demo import _deployment
from zinniadyke.demo import _replica_sampler
from zinniadyke.demo import _report
from zinniadyke.demo import _traffic
from zinniadyke import errors

MIB = 1 << 20
WANTED_S = 8.0
ORIGIN_COPIES_IN_TIME = 4
HOST_COPIES_IN_TIME = 2
FIRST_SIZE = 4 * MIB
CALLS_PER_S = 60.0
SAMPLE_S = 0.02
TAIL_S = 1.0
LIMIT_S = 180.0
CHUNKS = 64
MIN_CHUNK = 64 * 1024


class DemoOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a demo.

    Attributes
    ----------
    size
        Bytes of the new version.
    examples
        Directory with a directory of declarations for each deployment.
    """

    deployment: str
    examples: pathlib.Path
    size: int = 64 * MIB
    seed: int = 1
    rate: float = CALLS_PER_S


def run_demo(
    options: DemoOptions, say: Callable[[str], None]
) -> _report.DemoReport:
    """Run the demo and return its report.

    Parameters
    ----------
    say
        Takes progress lines.

    Raises
    ------
    UserError
        The rollout did not end in time, or the examples are wrong.
    """
    deployment = _deployment.DEPLOYMENTS[options.deployment]
    rate_mib_s = options.size / MIB / WANTED_S
    cluster = _cluster.Cluster(
        deployment=deployment,
        seed=options.seed,
        link_mib_s=HOST_COPIES_IN_TIME * rate_mib_s,
        origin_mib_s=ORIGIN_COPIES_IN_TIME * rate_mib_s,
    )
    try:
        cluster.start()
        _first_version(cluster, options, say)
        return _next_version(cluster, options, say)
    finally:
        cluster.stop()


def _first_version(cluster, options, say) -> None:
    accepted = cluster.apply_files(options.examples / options.deployment)
    say(f"applied {len(accepted['lines'])} objects from examples")
    size = min(FIRST_SIZE, options.size)
    release = cluster.release("1", size, _chunk_size(size))
    text = release.declaration + cluster.rollout_declaration("1", 1)
    cluster.operator_client().send("apply", text)
    _wait_rollout(cluster, "1", lambda line: None)
    _wait_services(cluster)
    say(f"version 1 serves on {len(cluster.serving('1'))} targets")


def _next_version(cluster, options, say) -> _report.DemoReport:
    traffic = _traffic.Traffic(
        cluster=cluster, rate=options.rate, seed=options.seed
    )
    traffic.start()
    eventlet.sleep(TAIL_S)
    chunk_size = _chunk_size(options.size)
    release = cluster.release("2", options.size, chunk_size)
    text = release.declaration + cluster.rollout_declaration("2", 2)
    say(text.rstrip())
    sampler = _replica_sampler.ReplicaSampler(cluster=cluster, version="2")
    cluster.operator_client(1).send("apply", text)
    _wait_rollout(cluster, "2", say)
    eventlet.sleep(TAIL_S)
    sampler.task.kill()
    traffic.stop()
    return _make_report(cluster, options, traffic, sampler)


def _wait_rollout(cluster, version: str, say) -> None:
    wanted = len(cluster.engines)
    shown = ""
    begun = time.monotonic()
    while len(cluster.serving(version)) < wanted:
        if time.monotonic() - begun > LIMIT_S:
            raise errors.UserError(
                f"version {version} did not serve everywhere in {LIMIT_S:g} s",
                code=errors.ResultCode.WAIT_TIMEOUT,
            )
        line = _progress(cluster, version)
        if line != shown:
            say(f"{time.monotonic() - begun:6.2f} s  {line}")
        shown = line
        eventlet.sleep(SAMPLE_S * 5)
    say(f"{time.monotonic() - begun:6.2f} s  {_progress(cluster, version)}")


def _progress(cluster, version: str) -> str:
    name = f"{cluster.deployment.model}/{version}"
    stages = [
        cluster.agents[h].stager.stages.get(name) for h in cluster.engines
    ]
    parts = [s.progress for s in stages if s is not None]
    staged = int(10 * sum(parts) / len(cluster.engines)) * 10
    return (
        f"staged {staged}%, serving {len(cluster.serving(version))}"
        f" of {len(cluster.engines)}"
    )


def _wait_services(cluster) -> None:
    with eventlet.Timeout(LIMIT_S):
        while not all(cluster.reaches_all_targets(e) for e in cluster.entries):
            eventlet.sleep(SAMPLE_S)


def _make_report(cluster, options, traffic, sampler) -> _report.DemoReport:
    outcomes = traffic.outcomes
    not_run = sum(o.ran == "not run" for o in outcomes if not o.ok)
    wrong = sum(o.wrong for o in outcomes)
    report = _report.DemoReport(
        deployment=options.deployment,
        seed=options.seed,
        size=options.size,
        chunk_size=_chunk_size(options.size),
        replica_times_s=[round(t, 3) for t in sampler.times_s],
        bound_s=_lower_bound_s(options.size, len(cluster.engines)),
        origin_copies=cluster.origin_copies("2"),
        cross_zone_copies=_cross_zone_copies(cluster, options.size),
        answered=sum(o.ok for o in outcomes),
        failed=sum(not o.ok for o in outcomes) - not_run - wrong,
        not_run=not_run,
        wrong=wrong,
        least_serving=sampler.min_serving,
        floor=cluster.deployment.floor,
        codes=_traffic.count_codes(outcomes),
        latency=traffic.histograms.rows(),
        broken=[],
    )
    report.broken = _broken(report, traffic)
    return report


def _broken(report: _report.DemoReport, traffic) -> list[str]:
    broken = []
    if report.wrong:
        broken.append(f"{report.wrong} wrong or mixed answers")
    if report.failed:
        broken.append(f"{report.failed} requests failed without a fault")
    lost = traffic.number - len(traffic.outcomes)
    if lost:
        broken.append(f"{lost} calls ended without an outcome")
    if report.least_serving < report.floor:
        broken.append("fewer replicas served than the floor")
    for name in traffic.runs_too_often():
        broken.append(f"{name} ran more often than it may")
    return broken


def _lower_bound_s(size: int, hosts: int) -> float:
    """Return the fluid lower bound for all hosts to hold all bytes."""
    rate = size / WANTED_S
    link, source = HOST_COPIES_IN_TIME * rate, ORIGIN_COPIES_IN_TIME * rate
    return max(size / link, hosts * size / (source + hosts * link))


def _cross_zone_copies(cluster, size: int) -> float:
    name = f"{cluster.deployment.model}/2"
    counts = [
        cluster.agents[host].stager.fetchers[name].counts.other_zone
        for host in cluster.engines
        if name in cluster.agents[host].stager.fetchers
    ]
    return sum(counts) / size


def _chunk_size(size: int) -> int:
    return max(MIN_CHUNK, -(-size // CHUNKS))
