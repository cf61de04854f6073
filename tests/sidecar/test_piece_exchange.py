import eventlet
from eventlet.green import socket

from tests.gateway import deployment as deploy
from zinniadyke import reports
from zinniadyke.sidecar import _piece_exchange
from zinniadyke.sidecar import _pieces


class Agent:
    """An agent that only exchanges datagrams."""

    def __init__(self, ip, port, held):
        self.ip = ip
        self.held = held
        self.sock = socket.socket(socket.AF_INET, socket.SOCK_DGRAM)
        self.sock.bind((ip, port))
        self.piece_exchange = _piece_exchange.PieceExchange(
            sock=self.sock, port=port, held=lambda model, version: self.held
        )
        self.sent = 0
        self.tasks = [
            eventlet.spawn(self.receive),
            eventlet.spawn(self.piece_exchange.announce_pieces),
        ]

    def receive(self):
        while True:
            data, sender = self.sock.recvfrom(2048)
            message = reports.decode(data)
            if isinstance(message, reports.PieceQuery):
                self.piece_exchange.handle_query(message, sender)
            else:
                self.sent += 1
                self.piece_exchange.handle_report(message, sender)

    def stop(self):
        for task in self.tasks:
            task.kill()
        self.sock.close()


def store(version=2):
    return _pieces.PieceStore(model="m", version=version, digests=("",) * 8)


def watch_peers(agent, hosts, version=2):
    have, unreachable = {}, {}
    task = eventlet.spawn(
        agent.piece_exchange.watch_peers,
        store(version),
        lambda: hosts,
        have.__setitem__,
        unreachable.__setitem__,
    )
    return have, unreachable, task


def test_peer_reports_present_and_later_pieces():
    port = deploy.free_port()
    one = Agent("127.8.1.1", port, set())
    other = Agent("127.8.1.2", port, {1, 5})
    have, unreachable, task = watch_peers(one, [other.ip])
    try:
        assert deploy.wait_until(lambda: have.get(other.ip) == {1, 5}, 2.0)
        other.held = {0, 1, 5, 7}
        assert deploy.wait_until(
            lambda: have.get(other.ip) == {0, 1, 5, 7}, 2.0
        )
        assert not unreachable
    finally:
        task.kill()
        one.stop()
        other.stop()


def test_report_of_another_version_is_ignored():
    port = deploy.free_port()
    one = Agent("127.8.2.1", port, set())
    have, _, task = watch_peers(one, [], version=3)
    try:
        eventlet.sleep(0.05)
        late = reports.PieceReport(model="m", version=2, have=b"\x01")
        one.piece_exchange.handle_report(late, ("127.8.2.9", port))
        assert not have
        now = reports.PieceReport(model="m", version=3, have=b"\x05")
        one.piece_exchange.handle_report(now, ("127.8.2.9", port))
        assert have == {"127.8.2.9": {0, 2}}
    finally:
        task.kill()
        one.stop()


def test_silent_peer_is_unreachable_and_has_no_pieces_until_it_answers():
    port = deploy.free_port()
    one = Agent("127.8.3.1", port, set())
    other = Agent("127.8.3.2", port, {3})
    have, unreachable, task = watch_peers(one, [other.ip])
    try:
        assert deploy.wait_until(lambda: have.get(other.ip) == {3}, 2.0)
        other.stop()
        assert deploy.wait_until(
            lambda: unreachable.get(other.ip) is True, 4.0
        )
        assert have[other.ip] == set()
        other = Agent("127.8.3.2", port, {3, 4})
        assert deploy.wait_until(
            lambda: unreachable.get(other.ip) is False, 4.0
        )
        assert deploy.wait_until(lambda: have.get(other.ip) == {3, 4}, 2.0)
    finally:
        task.kill()
        one.stop()
        other.stop()


def test_pieces_that_arrive_together_are_reported_together():
    port = deploy.free_port()
    one = Agent("127.8.4.1", port, set())
    other = Agent("127.8.4.2", port, set())
    have, _, task = watch_peers(one, [other.ip])
    try:
        assert deploy.wait_until(lambda: other.ip in have, 2.0)
        before = one.sent
        for index in range(8):
            other.held = {*other.held, index}
        assert deploy.wait_until(lambda: len(have[other.ip]) == 8, 2.0)
        # One report of the pieces and at most one answer to a further query.
        assert one.sent - before <= 2
    finally:
        task.kill()
        one.stop()
        other.stop()


def test_encoded_indexes_decode_to_same_set():
    for indexes in (set(), {0}, {7, 8}, set(range(64)), {63}):
        data = reports.encode_indexes(indexes)
        assert reports.decode_indexes(data) == indexes
        assert len(data) <= 8
