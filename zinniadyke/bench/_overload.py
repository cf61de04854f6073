"""Overload benchmark: isolation of classes and of workspaces."""

import msgspec

from zinniadyke.bench import _bound
from zinniadyke.bench import _load_generator
from zinniadyke.bench import _overload_fleet

LOW_LOAD = 0.5
HIGH_LOAD = 1.3
EVEN_WORKSPACES_LOAD = 0.6
NOISY_FACTOR = 10
MAX_CRITICAL_P99_RATIO = 1.5
MAX_OTHERS_P99_RATIO = 1.2
MIN_GOODPUT = 0.9
CRITICAL = _overload_fleet.CRITICAL
OTHER = _overload_fleet.OTHER


class OverloadResult(msgspec.Struct, kw_only=True):
    """Results of two loads by class and two by workspace."""

    capacity_per_s: float
    low: _load_generator.LoadResult
    high: _load_generator.LoadResult
    even: _load_generator.LoadResult
    noisy: _load_generator.LoadResult

    def bounds(self) -> list[_bound.Bound]:
        """Return the required limits and the measured values."""
        critical = self.high.p99_ms[CRITICAL] / self.low.p99_ms[CRITICAL]
        others = self.noisy.p99_ms[OTHER] / self.even.p99_ms[OTHER]
        loads = (self.low, self.high, self.even, self.noisy)
        return [
            _bound.Bound(
                name="p99 of critical at 1.3 to 0.5 of capacity",
                limit=MAX_CRITICAL_P99_RATIO,
                value=critical,
            ),
            _bound.Bound(
                name="capacity lost at 1.3",
                limit=1 - MIN_GOODPUT,
                value=1 - self.high.goodput,
            ),
            _bound.Bound(
                name="p99 of others beside a workspace at 10 times its share",
                limit=MAX_OTHERS_P99_RATIO,
                value=others,
            ),
            _bound.Bound(
                name="failed",
                limit=0,
                value=sum(load.failed for load in loads),
            ),
        ]


def workspace_streams(factor: float) -> list[_load_generator.RequestStream]:
    """Return streams of equal workspaces, one at ``factor`` times the load."""
    load_per_workspace = EVEN_WORKSPACES_LOAD / _overload_fleet.WORKSPACE_COUNT
    others = [OTHER] + [
        f"{OTHER}-{i}" for i in range(2, _overload_fleet.WORKSPACE_COUNT)
    ]
    streams = [
        _load_generator.RequestStream(
            workspace=name,
            request_class=_overload_fleet.STANDARD,
            label=OTHER,
            load=load_per_workspace,
        )
        for name in others
    ]
    noisy = _load_generator.RequestStream(
        workspace=_overload_fleet.NOISY,
        request_class=_overload_fleet.STANDARD,
        label=_overload_fleet.NOISY,
        load=load_per_workspace * factor,
    )
    return [*streams, noisy]


def run_overload(
    options: _overload_fleet.OverloadOptions,
) -> OverloadResult:
    """Measure classes and workspaces below and above capacity."""
    fleet = _overload_fleet.OverloadFleet(options=options)
    class_shares = _overload_fleet.TWO_CLASS_SHARES
    class_streams = _overload_fleet.class_streams
    try:
        return OverloadResult(
            capacity_per_s=fleet.capacity_per_s,
            low=fleet.run(class_streams(LOW_LOAD, class_shares)),
            high=fleet.run(class_streams(HIGH_LOAD, class_shares)),
            even=fleet.run(workspace_streams(1)),
            noisy=fleet.run(workspace_streams(NOISY_FACTOR)),
        )
    finally:
        fleet.stop()
