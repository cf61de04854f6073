"""The process beside a target on the users' platform."""

import eventlet

from zinniadyke import directory
from zinniadyke import pacing
from zinniadyke import platform
from zinniadyke import settings
from zinniadyke.sidecar import _keeper
from zinniadyke.sidecar import _load_reporter
from zinniadyke.sidecar import _peer_server

# Shares of the host's link that weights may take: streams leave by it, and
# hardly anything but weights comes in.
UPLINK_SHARE = 0.80
DOWNLINK_SHARE = 0.92
BYTES_PER_MBIT = 125000
# Bytes that may be asked for at once after a pause: one usual piece.
BURST_BYTES = 32768


class Sidecar:
    """Keeps the target beside it on the weights that are wanted."""

    def __init__(self, *, loaded: settings.PlatformProcessSettings) -> None:
        """Bind the sockets; :meth:`start` works."""
        host = loaded.host
        link_rate = host.link_mbps * BYTES_PER_MBIT
        view = directory.View()
        target = platform.ModelServerClient(address=loaded.target.address)
        self.peer_server = _peer_server.PeerServer(
            address=f"{host.ip}:{host.ports[0]}",
            target=target,
            bytes_per_s=link_rate * UPLINK_SHARE,
        )
        self.reporter = _load_reporter.LoadReporter(
            ip=host.ip,
            port=host.ports[0],
            address=loaded.target.address,
            target=target,
            view=view,
        )
        self.tasks: list[eventlet.greenthread.GreenThread] = []
        self.keeper = _keeper.WeightsKeeper(
            loaded=loaded,
            view=view,
            store=platform.StoreClient(address=loaded.store.address),
            target=target,
            reporter=self.reporter,
            peer_server=self.peer_server,
            bucket=pacing.TokenBucket(
                bytes_per_s=link_rate * DOWNLINK_SHARE,
                burst_bytes=BURST_BYTES,
            ),
        )

    def start(self) -> None:
        """Work until the process ends."""
        self.tasks = [
            eventlet.spawn(task)
            for task in (
                self.peer_server.run,
                self.reporter.receive,
                self.reporter.run,
                self.keeper.fetch,
                self.keeper.switch,
                self.keeper.news.tell,
            )
        ]

    def shut_down(self) -> bool:
        """End at once; what lies at the target stays there."""
        return True

    def close(self) -> None:
        """Drop everything at once, as the end of the process would."""
        for task in self.tasks:
            task.kill()
        self.peer_server.socket.close()
        self.reporter.sock.close()
