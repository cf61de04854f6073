"""Bench of the ceilings at several loads."""

import msgspec

from zinniadyke.bench import _ceilings
from zinniadyke.bench import _load
from zinniadyke.bench import _overload_fleet

CEILING_LOADS = (0.6, 0.8, 1.0, 1.3)
CLASSES = (_overload_fleet.TWO_CLASSES, _overload_fleet.THREE_CLASSES)


class CeilingResult(msgspec.Struct, kw_only=True):
    """One load under one ceiling."""

    classes: int
    load: float
    ceiling: str
    result: _load.LoadResult


def run_ceilings(
    options: _overload_fleet.OverloadOptions,
) -> list[CeilingResult]:
    """Measure all ceilings at all loads, with two and three classes."""
    fleet = _overload_fleet.OverloadFleet(options=options)
    try:
        return [
            _run_ceiling(fleet, parts, load, name)
            for parts in CLASSES
            for load in CEILING_LOADS
            for name in _ceilings.CEILINGS
        ]
    finally:
        fleet.stop()


def _run_ceiling(
    fleet: _overload_fleet.OverloadFleet,
    parts: dict[str, float],
    load: float,
    name: str,
) -> CeilingResult:
    queue = _ceilings.CeilingQueue(
        pool=fleet.pool,
        ceiling=_ceilings.CEILINGS[name],
        classes=len(parts),
    )
    fleet.pool.queue = queue
    try:
        result = fleet.run(_overload_fleet.class_streams(load, parts))
    finally:
        queue.task.kill()
    return CeilingResult(
        classes=len(parts), load=load, ceiling=name, result=result
    )
