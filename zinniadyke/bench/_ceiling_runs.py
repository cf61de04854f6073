"""Compares the utilization ceilings at several loads."""

import msgspec

from zinniadyke.bench import _ceilings
from zinniadyke.bench import _load_generator
from zinniadyke.bench import _overload_fleet

CEILING_LOADS = (0.6, 0.8, 1.0, 1.3)
CLASS_SHARES = (
    _overload_fleet.TWO_CLASS_SHARES,
    _overload_fleet.THREE_CLASS_SHARES,
)


class CeilingResult(msgspec.Struct, kw_only=True):
    """Result of one load under one ceiling."""

    classes: int
    load: float
    ceiling: str
    result: _load_generator.LoadResult


def run_ceilings(
    options: _overload_fleet.OverloadOptions,
) -> list[CeilingResult]:
    """Measure every ceiling at every load, with two and three classes."""
    fleet = _overload_fleet.OverloadFleet(options=options)
    try:
        return [
            _run_ceiling(fleet, class_shares, load, ceiling_name)
            for class_shares in CLASS_SHARES
            for load in CEILING_LOADS
            for ceiling_name in _ceilings.CEILINGS
        ]
    finally:
        fleet.stop()


def _run_ceiling(
    fleet: _overload_fleet.OverloadFleet,
    class_shares: dict[str, float],
    load: float,
    ceiling_name: str,
) -> CeilingResult:
    queue = _ceilings.CeilingQueue(
        pool=fleet.pool,
        ceiling=_ceilings.CEILINGS[ceiling_name],
        classes=len(class_shares),
    )
    fleet.pool.queue = queue
    try:
        result = fleet.run(_overload_fleet.class_streams(load, class_shares))
    finally:
        queue.task.kill()
    return CeilingResult(
        classes=len(class_shares),
        load=load,
        ceiling=ceiling_name,
        result=result,
    )
