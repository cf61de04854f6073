"""The demo's report."""

import msgspec

from zinniadyke import language


class DemoReport(msgspec.Struct, kw_only=True):
    """Result of a demo.

    Attributes
    ----------
    replica_times_s
        Time from the apply until 1, 2, .. N replicas serve, in seconds.
    bound_s
        Lower bound for all replicas, from the link rates, in seconds.
    broken
        Guarantees that did not hold, one line each.
    """

    deployment: str
    seed: int
    size: int
    chunk_size: int
    replica_times_s: list[float]
    bound_s: float
    origin_copies: float
    cross_zone_copies: float
    answered: int
    failed: int
    not_run: int
    wrong: int
    least_serving: int
    floor: int
    codes: dict[str, int]
    latency: list[dict]
    broken: list[str]


def format_report(report: DemoReport) -> str:
    """Return the report as text for a terminal."""
    size_mib = report.size / (1 << 20)
    times = ", ".join(f"{t:.2f}" for t in report.replica_times_s)
    lines = [
        f"{report.deployment}: {size_mib:g} MiB to"
        f" {len(report.replica_times_s)} targets, seed {report.seed}",
        f"  time until 1..N replicas serve (s): {times}",
        f"  lower bound for staging all (s):    {report.bound_s:.2f}",
        f"  copies read from the origin:        {report.origin_copies:.2f}",
        "  copies that crossed zones:          "
        f"{report.cross_zone_copies:.2f}",
        f"  least replicas serving / floor:     {report.least_serving}"
        f" / {report.floor}",
        f"  requests answered {report.answered}, failed {report.failed},"
        f" not run {report.not_run}, wrong or mixed {report.wrong}",
    ]
    lines += [f"  {code}: {n}" for code, n in report.codes.items()]
    table = language.format_table(report.latency)
    lines += ["", table.rstrip(), ""]
    if report.broken:
        lines += [f"BROKEN: {line}" for line in report.broken]
    else:
        lines.append("every promise held")
    return "\n".join(lines)
