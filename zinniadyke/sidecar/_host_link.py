"""How much of a host's link weights may take."""

from zinniadyke import pacing

BYTES_PER_MBIT = 125000
# Shares of the link for weights beside a target that serves: streams leave
# by it, and hardly anything but weights comes in.
UPLINK_SHARE = 0.80
DOWNLINK_SHARE = 0.92
# Share beside a target that serves nobody; the rest is for reports and
# acknowledgements.
IDLE_SHARE = 0.97
# Bytes that may be asked for at once after a pause: one usual piece.
DOWNLINK_BURST_BYTES = 32768
# Bytes that may leave at once after a pause: events wait for them.
UPLINK_BURST_BYTES = 4096


class HostLink:
    """Paces weights in both directions of a host's link."""

    def __init__(self, *, link_mbps: float) -> None:
        """Start with a target that serves nobody."""
        self.bytes_per_s = link_mbps * BYTES_PER_MBIT
        self.uplink = pacing.TokenBucket(burst_bytes=UPLINK_BURST_BYTES)
        self.downlink = pacing.TokenBucket(burst_bytes=DOWNLINK_BURST_BYTES)
        self.set_rates(is_serving=False)

    def set_rates(self, *, is_serving: bool) -> None:
        """Leave the target beside what it needs."""
        uplink = UPLINK_SHARE if is_serving else IDLE_SHARE
        downlink = DOWNLINK_SHARE if is_serving else IDLE_SHARE
        self.uplink.bytes_per_s = self.bytes_per_s * uplink
        self.downlink.bytes_per_s = self.bytes_per_s * downlink
