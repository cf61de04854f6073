"""Runs the demo: a rollout under traffic, followed by a report."""

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
STAGING_GOAL_S = 8.0
# Copies of the version that a link carries within STAGING_GOAL_S.
ORIGIN_LINK_COPIES = 4
HOST_LINK_COPIES = 2
FIRST_VERSION_BYTES = 4 * MIB
CALLS_PER_S = 60.0
POLL_S = 0.02
TRAFFIC_MARGIN_S = 1.0
WAIT_TIMEOUT_S = 180.0
MAX_CHUNKS = 64
MIN_CHUNK_BYTES = 64 * 1024


class DemoOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of a demo.

    Attributes
    ----------
    size
        Size of the new version, in bytes.
    examples
        Directory that has one directory of declarations per deployment.
    rate
        Calls per second, over all workspaces.
    """

    deployment: str
    examples: pathlib.Path
    size: int = 64 * MIB
    seed: int = 1
    rate: float = CALLS_PER_S


def run_demo(
    options: DemoOptions, print_progress: Callable[[str], None]
) -> _report.DemoReport:
    """Run the demo and return its report.

    Parameters
    ----------
    print_progress
        Called with each line of progress.

    Raises
    ------
    UserError
        The rollout did not end in time, or the examples are not valid.
    """
    deployment = _deployment.DEPLOYMENTS[options.deployment]
    rate_mib_s = options.size / MIB / STAGING_GOAL_S
    cluster = _cluster.Cluster(
        deployment=deployment,
        seed=options.seed,
        link_mib_s=HOST_LINK_COPIES * rate_mib_s,
        origin_mib_s=ORIGIN_LINK_COPIES * rate_mib_s,
    )
    try:
        cluster.start()
        _roll_out_first_version(cluster, options, print_progress)
        return _roll_out_next_version(cluster, options, print_progress)
    finally:
        cluster.stop()


def _roll_out_first_version(cluster, options, print_progress) -> None:
    accepted = cluster.apply_files(options.examples / options.deployment)
    print_progress(f"applied {len(accepted['lines'])} objects from examples")
    size = min(FIRST_VERSION_BYTES, options.size)
    release = cluster.release("1", size, _chunk_size(size))
    text = release.declaration + cluster.rollout_declaration("1", 1)
    cluster.operator_client().send("apply", text)
    _wait_for_rollout(cluster, "1", lambda line: None)
    _wait_for_targets(cluster)
    print_progress(f"version 1 serves on {len(cluster.serving('1'))} targets")


def _roll_out_next_version(
    cluster, options, print_progress
) -> _report.DemoReport:
    traffic = _traffic.Traffic(
        cluster=cluster, rate=options.rate, seed=options.seed
    )
    traffic.start()
    eventlet.sleep(TRAFFIC_MARGIN_S)
    chunk_size = _chunk_size(options.size)
    release = cluster.release("2", options.size, chunk_size)
    text = release.declaration + cluster.rollout_declaration("2", 2)
    print_progress(text.rstrip())
    sampler = _replica_sampler.ReplicaSampler(cluster=cluster, version="2")
    cluster.operator_client(1).send("apply", text)
    _wait_for_rollout(cluster, "2", print_progress)
    eventlet.sleep(TRAFFIC_MARGIN_S)
    sampler.task.kill()
    traffic.stop()
    return _make_report(cluster, options, traffic, sampler)


def _wait_for_rollout(cluster, version: str, print_progress) -> None:
    engine_count = len(cluster.engines)
    last_line = ""
    started_at = time.monotonic()
    while len(cluster.serving(version)) < engine_count:
        if time.monotonic() - started_at > WAIT_TIMEOUT_S:
            raise errors.UserError(
                f"version {version} does not serve on every target after"
                f" {WAIT_TIMEOUT_S:g} s",
                code=errors.ResultCode.WAIT_TIMEOUT,
            )
        line = _format_progress(cluster, version)
        if line != last_line:
            print_progress(f"{time.monotonic() - started_at:6.2f} s  {line}")
        last_line = line
        eventlet.sleep(POLL_S * 5)
    print_progress(
        f"{time.monotonic() - started_at:6.2f} s"
        f"  {_format_progress(cluster, version)}"
    )


def _format_progress(cluster, version: str) -> str:
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


def _wait_for_targets(cluster) -> None:
    with eventlet.Timeout(WAIT_TIMEOUT_S):
        while not all(cluster.reaches_all_targets(e) for e in cluster.entries):
            eventlet.sleep(POLL_S)


def _make_report(cluster, options, traffic, sampler) -> _report.DemoReport:
    outcomes = traffic.outcomes
    not_run = sum(o.ran == "not run" for o in outcomes if not o.ok)
    wrong = sum(o.wrong for o in outcomes)
    report = _report.DemoReport(
        deployment=options.deployment,
        seed=options.seed,
        size=options.size,
        chunk_size=_chunk_size(options.size),
        replica_times_s=[round(t, 3) for t in sampler.serving_times_s],
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
    report.broken = _list_violations(report, traffic)
    return report


def _list_violations(report: _report.DemoReport, traffic) -> list[str]:
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
    for name in traffic.excess_executions():
        broken.append(f"{name} ran more often than it may")
    return broken


def _lower_bound_s(size: int, hosts: int) -> float:
    """Return the least time until all hosts can hold all bytes.

    Fluid model: hosts forward each byte as soon as it arrives. The origin's
    link for one copy is faster than a host's link and never the limit.
    """
    rate = size / STAGING_GOAL_S
    host_rate, origin_rate = HOST_LINK_COPIES * rate, ORIGIN_LINK_COPIES * rate
    return max(
        size / host_rate, hosts * size / (origin_rate + hosts * host_rate)
    )


def _cross_zone_copies(cluster, size: int) -> float:
    name = f"{cluster.deployment.model}/2"
    counts = [
        cluster.agents[host].stager.fetchers[name].counts.other_zone
        for host in cluster.engines
        if name in cluster.agents[host].stager.fetchers
    ]
    return sum(counts) / size


def _chunk_size(size: int) -> int:
    return max(MIN_CHUNK_BYTES, -(-size // MAX_CHUNKS))
