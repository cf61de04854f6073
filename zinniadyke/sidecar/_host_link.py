"""Limits the share of a host's link that weights may use."""

from zinniadyke import pacing

BYTES_PER_MBIT = 125000
# Share of the uplink while the target serves; its streams need the rest.
UPLINK_SHARE = 0.80
# Share of the downlink while the target serves; little but weights comes in.
DOWNLINK_SHARE = 0.92
# Share of both while the target does not serve; reports and acknowledgements
# need the rest.
IDLE_SHARE = 0.97
# Size of a usual piece.
DOWNLINK_BURST_BYTES = 32768
# A larger burst would delay the events of streams.
UPLINK_BURST_BYTES = 4096


class HostLink:
    """Token buckets for weights in both directions of a host's link."""

    def __init__(self, *, link_mbps: float) -> None:
        """Start with the rates for a target that does not serve."""
        self.bytes_per_s = link_mbps * BYTES_PER_MBIT
        self.uplink = pacing.TokenBucket(burst_bytes=UPLINK_BURST_BYTES)
        self.downlink = pacing.TokenBucket(burst_bytes=DOWNLINK_BURST_BYTES)
        self.set_rates(is_serving=False)

    def set_rates(self, *, is_serving: bool) -> None:
        """Set the rates that leave enough of the link for the target."""
        uplink = UPLINK_SHARE if is_serving else IDLE_SHARE
        downlink = DOWNLINK_SHARE if is_serving else IDLE_SHARE
        self.uplink.bytes_per_s = self.bytes_per_s * uplink
        self.downlink.bytes_per_s = self.bytes_per_s * downlink
