"""Latency histograms for each workspace and request class."""

from hdrh import histogram

LOWEST_US = 1
HIGHEST_US = 600_000_000
SIGNIFICANT_DIGITS = 2
US_PER_MS = 1000.0
PERCENTILES = (50, 95, 99)


class Histograms:
    """HDR histograms in microseconds, by workspace and request class."""

    def __init__(self) -> None:
        """Start without histograms; ``record`` creates them."""
        self.by_key: dict[tuple[str, str], histogram.HdrHistogram] = {}

    def record(
        self, workspace: str, request_class: str, latency_s: float
    ) -> None:
        """Record one latency, in seconds."""
        key = (workspace, request_class)
        found = self.by_key.get(key)
        if found is None:
            found = histogram.HdrHistogram(
                LOWEST_US, HIGHEST_US, SIGNIFICANT_DIGITS
            )
            self.by_key[key] = found
        found.record_value(max(LOWEST_US, int(latency_s * 1e6)))

    def rows(self) -> list[dict[str, object]]:
        """Return the count and percentiles in ms of each histogram."""
        return [
            {
                "workspace": workspace,
                "class": request_class,
                "count": found.get_total_count(),
                **{
                    f"p{p}_ms": found.get_value_at_percentile(p) / US_PER_MS
                    for p in PERCENTILES
                },
                "max_ms": found.get_max_value() / US_PER_MS,
            }
            for (workspace, request_class), found in sorted(
                self.by_key.items()
            )
        ]
