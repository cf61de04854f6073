"""The sidecar process beside a target on the users' platform."""

import eventlet

from zinniadyke import directory
from zinniadyke import listening
from zinniadyke import platform
from zinniadyke import reports
from zinniadyke import settings
from zinniadyke.sidecar import _crash_reporter
from zinniadyke.sidecar import _host_link
from zinniadyke.sidecar import _load_reporter
from zinniadyke.sidecar import _peer_server
from zinniadyke.sidecar import _token_lender
from zinniadyke.sidecar import _weights_updater


class Sidecar:
    """Has its target load the wanted weights and reports its load."""

    def __init__(self, *, loaded: settings.PlatformProcessSettings) -> None:
        """Bind the sockets; :meth:`start` starts the tasks."""
        host = loaded.host
        link = _host_link.HostLink(link_mbps=host.link_mbps)
        view = directory.View()
        target = platform.ModelServerClient(address=loaded.target.address)
        self.peer_server = _peer_server.PeerServer(
            address=f"{host.ip}:{host.ports[0]}",
            target=target,
            bucket=link.uplink,
        )
        self.reporter = _load_reporter.LoadReporter(
            ip=host.ip,
            port=host.ports[0],
            region=host.region,
            address=loaded.target.address,
            target=target,
            view=view,
        )
        self.reporter.on_serving = lambda is_serving: link.set_rates(
            is_serving=is_serving
        )
        self.crash_reporter = _crash_reporter.CrashReporter(
            address=loaded.target.address,
            read_report=lambda: target.report(layer_count=0),
            refuses_connections=listening.refuses_connections,
            broadcast=self.reporter.broadcast,
        )
        self.token_lender = _token_lender.TokenLender(
            send=self.reporter.send, address=loaded.target.address
        )
        self.reporter.handlers.update(
            {
                reports.TokenRequest: self.token_lender.handle_request,
                reports.Interruption: self.crash_reporter.handle_interruption,
                reports.CrashReport: self.crash_reporter.handle_news,
                reports.SuspectNews: self.crash_reporter.handle_news,
                reports.RefusedCallers: self.reporter.relay_to_region,
            }
        )
        self.tasks: list[eventlet.greenthread.GreenThread] = []
        self.weights_updater = _weights_updater.WeightsUpdater(
            loaded=loaded,
            view=view,
            store=platform.StoreClient(address=loaded.store.address),
            target=target,
            reporter=self.reporter,
            peer_server=self.peer_server,
            bucket=link.downlink,
        )

    def start(self) -> None:
        """Start the tasks, which run until the process ends."""
        self.tasks = [
            eventlet.spawn(task)
            for task in (
                self.peer_server.run,
                self.reporter.receive,
                self.reporter.run,
                self.crash_reporter.run,
                self.token_lender.run,
                self.weights_updater.fetch,
                self.weights_updater.switch,
                self.weights_updater.version_recorder.run,
                self.weights_updater.piece_exchange.announce_pieces,
            )
        ]

    def shut_down(self) -> bool:
        """Return True at once; nothing is drained.

        Weights staged at the target stay there.
        """
        return True

    def close(self) -> None:
        """Kill the tasks and close the sockets, as a process exit would."""
        for task in self.tasks:
            task.kill()
        self.peer_server.socket.close()
        self.reporter.sock.close()
