"""Parts that every process has: peer connections, configuration, hosts."""

import eventlet
from eventlet.green import zmq

from zinniadyke.control import _store
from zinniadyke.control import _sync
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform


class Node:
    """A process with its connections to peers and its shared state.

    Parameters
    ----------
    me
        Host record of this process; port 0 in ``peer`` selects a free port.
    platform_url
        Base URL of the platform.
    seeds
        ``ip:port`` of peers from the settings.
    """

    def __init__(
        self, *, me: platform.Host, platform_url: str, seeds: list[str]
    ) -> None:
        """Bind the peer socket; ``start`` starts the tasks."""
        self.context = zmq.Context()
        self.server = peers.PeerServer(context=self.context, address=me.peer)
        self.me = platform.Host(
            name=me.name,
            role=me.role,
            zone=me.zone,
            region=me.region,
            peer=self.server.address,
            service=me.service,
        )
        self.incarnation = ids.new_incarnation()
        self.client = platform.PlatformClient(url=platform_url)
        self.store = _store.ConfigStore()
        self.connections: dict[str, peers.PeerConnection] = {}
        self.sync = _sync.Syncer(
            me=self.me,
            store=self.store,
            client=self.client,
            connect=self.connect_address,
            on_hosts_changed=self._close_unlisted_connections,
            seeds=seeds,
        )
        self.server.register_handler(peers.Sync, self.sync.serve)

    @property
    def configuration(self) -> objects.Configuration:
        """The current configuration."""
        return self.store.configuration

    def hosts(
        self,
        role: platform.HostRole,
        service: ids.ServiceName | None = None,
    ) -> list[platform.Host]:
        """Return the hosts of a role, and of one service if it is given."""
        return [
            host
            for host in self.sync.hosts
            if host.role is role and service in (None, host.service)
        ]

    def live_entries(self) -> int:
        """Return the number of entries that are live and not leaving."""
        live = platform.HostState.LIVE
        entries = self.hosts(platform.HostRole.ENTRY)
        return sum(1 for host in entries if host.state is live)

    def connect(self, host: platform.Host) -> peers.PeerConnection:
        """Return the connection to the peer address of ``host``."""
        return self.connect_address(host.peer)

    def connect_address(self, address: str) -> peers.PeerConnection:
        """Return the connection to ``ip:port``; open it on first use."""
        found = self.connections.get(address)
        if found is None:
            found = peers.PeerConnection(context=self.context, address=address)
            self.connections[address] = found
        return found

    def disconnect(self, connection: peers.PeerConnection) -> None:
        """Close a connection, but keep a newer one to the same address."""
        if self.connections.get(connection.address) is connection:
            del self.connections[connection.address]
        connection.close()

    def _close_unlisted_connections(self) -> None:
        """Close idle connections to peers that are not in the host list."""
        listed = {host.peer for host in self.sync.hosts}
        for connection in list(self.connections.values()):
            if connection.address not in listed and not connection.open_calls:
                self.disconnect(connection)

    def start(self) -> None:
        """Start to serve peers and to sync configuration and hosts."""
        self.server.start()
        self.sync.start()

    def stop(self, linger_ms: int = 0) -> None:
        """Stop all tasks and close all connections.

        Parameters
        ----------
        linger_ms
            Time limit for sending queued messages, in ms.
        """
        self.sync.stop()
        self.server.stop(linger_ms)
        for connection in self.connections.values():
            connection.close()
        eventlet.sleep(0)
        self.context.destroy(linger=linger_ms)
