import contextlib
import itertools

import eventlet

from tests.gateway import deployment as deploy
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import platform
from zinniadyke import settings
from zinniadyke import sidecar
from zinniadyke.sidecar import _load_reporter
from zinniadyke.sidecar import _peer_client
from zinniadyke.sidecar import _pieces

PIECES = 8
MODEL = "m"
NETWORKS = itertools.count(1)


class Fleet:
    """Agents and model servers, each host with a loopback address."""

    def __init__(
        self, versions, version_ms=3000.0, registered=True, piece_delay_s=0.0
    ):
        network = next(NETWORKS)
        self.store = fakes.FakeStore()
        self.origin = fakes.FakeWeightsOrigin(pieces=PIECES)
        self.origin.piece_delay_s = piece_delay_s
        self.port = deploy.free_port()
        self.version_ms = version_ms
        self.ips = [f"127.7.{network}.{n + 1}" for n in range(len(versions))]
        self.servers = {}
        self.agents = {}
        self.store.put("config", "main", self.configuration())
        for ip, version in zip(self.ips, versions, strict=True):
            self.servers[ip] = fakes.FakeModelServer(
                model=MODEL,
                pieces=PIECES,
                version=version,
                address=f"{ip}:0",
            )
            if registered:
                self.register(ip)
        for ip in self.ips:
            self.start(ip)

    def configuration(self, version=1, pieces=PIECES):
        engine = {
            "slots": 4,
            "models": [{"name": MODEL}],
            "chunks": pieces,
            "chunk_bytes": 1024,
        }
        return deploy.configuration(
            version,
            routes=[
                deploy.route(
                    "s", kind="streaming", stream_resume=True, service="llm"
                )
            ],
            services=[
                {"name": "llm", "engine": engine},
                {"name": "origin", "origin": self.origin.address},
            ],
        )

    def register(self, ip):
        server = self.servers[ip]
        models = []
        if server.version:
            models = [{"name": MODEL, "version": server.version}]
        self.store.put(
            "servers",
            f"t-{ip}",
            {
                "service": "llm",
                "address": server.address,
                "zone": "z1",
                "slots": 4,
                "version": "v1",
                "state": "ready",
                "cold_remaining_ms": 0,
                "seq": 1,
                "models": models,
            },
        )

    def start(self, ip):
        made = sidecar.Sidecar(
            loaded=settings.PlatformProcessSettings(
                host=settings.HostSection(
                    name=ip,
                    zone="z1",
                    region="r1",
                    ip=ip,
                    ports=(self.port, self.port),
                    link_mbps=100.0,
                ),
                store=settings.StoreSection(address=self.store.address),
                target=settings.TargetSection(
                    address=self.servers[ip].address, service="llm"
                ),
                bounds=settings.BoundsSection(version_ms=self.version_ms),
            )
        )
        made.start()
        self.agents[ip] = made

    def name(self, version):
        """Name a version in the store and tell the agents, as entries do."""
        self.store.put("versions", MODEL, {"model": MODEL, "version": version})
        for agent in self.agents.values():
            agent.weights_updater.view.learn_desired_weights(
                MODEL, version, 0.0
            )

    def all_hold(self, version, timeout_s=8.0):
        return deploy.wait_until(
            lambda: all(
                s.version == version and not s.busy
                for s in self.servers.values()
            ),
            timeout_s,
        )

    def check_loads(self):
        """Check that each load had all pieces with the right bytes."""
        for server in self.servers.values():
            for version, staged in server.accepted_orders:
                assert staged == {
                    n: fakes.expected_piece(version, n) for n in range(PIECES)
                }

    def stop(self):
        for agent in self.agents.values():
            agent.close()
        for server in self.servers.values():
            server.stop()
        self.origin.stop()
        self.store.stop()


@contextlib.contextmanager
def fleet(*versions, **more):
    made = Fleet(versions, **more)
    try:
        assert deploy.wait_until(
            lambda: all(
                a.reporter.latest is not None
                and a.weights_updater.view.configuration
                for a in made.agents.values()
            )
        )
        yield made
    finally:
        made.stop()


def test_named_version_reaches_all_targets_and_the_origin_is_read_once():
    with fleet(1, 1, 1) as made:
        made.name(2)
        assert made.all_hold(2)
        made.check_loads()
        assert made.origin.reads <= PIECES * 1.25


def test_empty_target_gets_version_from_peers_in_region():
    with fleet(1, 1, 0) as made:
        assert made.all_hold(1)
        made.check_loads()
        assert made.origin.reads == 0


def test_agents_that_start_before_targets_register_share_one_origin_copy():
    with fleet(0, 0, 0, 0, registered=False, piece_delay_s=0.5) as made:
        assert deploy.wait_until(lambda: made.origin.reads >= len(made.ips))
        for ip in made.ips:
            made.register(ip)
        assert made.all_hold(1)
        made.check_loads()
        assert made.origin.reads < 2 * PIECES


def test_fetched_weights_are_loaded_while_the_store_is_away():
    with fleet(1, 1, piece_delay_s=0.5) as made:
        made.name(2)
        assert deploy.wait_until(lambda: made.origin.reads > 0)
        made.store.down = 503
        assert made.all_hold(2)
        made.check_loads()


def test_weights_that_entries_report_while_the_store_is_away_are_fetched():
    with fleet(1, 1) as made:
        made.store.down = 503
        eventlet.sleep(2.5)
        made.name(2)
        assert made.all_hold(2)
        made.check_loads()


def test_empty_target_gets_nothing_while_no_named_version_is_known(
    monkeypatch,
):
    def cannot_list(store, kind, *, stale=False):
        if kind == "versions":
            raise errors.PlatformError("down")
        return list_objects(store, kind, stale=stale)

    list_objects = platform.StoreClient.list_objects
    monkeypatch.setattr(platform.StoreClient, "list_objects", cannot_list)
    with fleet(0, 2) as made:
        eventlet.sleep(1.0)
        assert made.origin.reads == 0
        made.name(2)
        assert made.all_hold(2)
        made.check_loads()


def test_corrupt_pieces_are_never_loaded():
    with fleet(1, 1) as made:
        made.origin.corrupt_on_read = {(2, n) for n in range(0, PIECES, 2)}
        made.name(2)
        assert made.all_hold(2)
        made.check_loads()


def test_piece_corrupted_at_target_is_restaged_before_load():
    with fleet(1) as made:
        (server,) = made.servers.values()
        server.corrupt_on_staging = set(range(0, PIECES, 3))
        made.name(2)
        assert made.all_hold(2)
        made.check_loads()


def test_order_is_not_repeated_if_its_answer_is_lost():
    with fleet(1) as made:
        (server,) = made.servers.values()
        server.lose_answers = 1
        made.name(2)
        assert made.all_hold(2)
        eventlet.sleep(0.5)
        assert server.order_count == 1
        made.check_loads()


def test_order_is_not_repeated_while_reports_come_late(monkeypatch):
    """An order is repeated if its effect is looked up in an old report.

    The answer of the order is lost, and the next periodic report comes after
    the retry, as when its call takes long on a busy host.
    """
    monkeypatch.setattr(_load_reporter, "report_interval_s", lambda _: 2.0)
    with fleet(1) as made:
        (server,) = made.servers.values()
        (agent,) = made.agents.values()
        reporter = agent.weights_updater.reporter
        assert deploy.wait_until(lambda: reporter.latest is not None)
        server.lose_answers = 1
        made.name(2)
        assert made.all_hold(2)
        assert deploy.wait_until(
            lambda: reporter.latest.weights == {MODEL: 2}, timeout_s=1.0
        )
        eventlet.sleep(0.5)
        assert server.order_count == 1
        made.check_loads()


def test_superseded_version_is_dropped():
    with fleet(1, 1) as made:
        made.name(2)
        made.name(3)
        assert made.all_hold(3)
        made.check_loads()


def test_dead_agent_does_not_delay_others():
    with fleet(1, 1, 1, version_ms=6000.0) as made:
        lost = made.ips[0]
        made.agents.pop(lost).close()
        made.name(2)
        lost_server = made.servers.pop(lost)
        try:
            assert made.all_hold(2, 10.0)
            made.check_loads()
        finally:
            lost_server.stop()


def test_restarted_target_is_loaded_again():
    with fleet(1, 1) as made:
        server = made.servers[made.ips[0]]
        server.version = 0
        server.order_count = 0
        server.staged.clear()
        made.register(made.ips[0])
        assert made.all_hold(1)
        made.check_loads()


def test_new_target_gets_pieces_that_peers_released_from_memory():
    with fleet(1, 1) as made:
        made.name(2)
        assert made.all_hold(2)
        for agent in made.agents.values():
            for store in agent.peer_server.stores:
                store.pieces.clear()
        before = made.origin.reads
        new = f"{made.ips[0].rpartition('.')[0]}.9"
        made.servers[new] = fakes.FakeModelServer(
            model=MODEL, pieces=PIECES, version=0, address=f"{new}:0"
        )
        for ip in (*made.ips, new):
            made.register(ip)
        made.start(new)
        made.agents[new].weights_updater.view.learn_desired_weights(
            MODEL, 2, 0.0
        )
        assert made.all_hold(2)
        assert made.origin.reads == before
        made.check_loads()


def test_digests_are_read_from_the_origin_once():
    with fleet(1, 1, 1) as made:
        made.name(2)
        assert made.all_hold(2)
        assert made.origin.manifest_reads == 1


def test_wrong_digests_are_read_again():
    """Agents share wrong digests, and none may wait forever for a piece."""
    with fleet(1, 1) as made:
        made.origin.corrupt_manifest_versions.add(2)
        made.name(2)
        assert made.all_hold(2, timeout_s=12.0)
        assert made.origin.manifest_reads > 1
        made.check_loads()


def test_pieces_of_rejected_digests_are_released():
    """Guards against an agent that keeps each version with wrong digests."""
    with fleet(1) as made:
        (agent,) = made.agents.values()
        rejected = agent.weights_updater.rejected_stores
        made.origin.corrupt_manifest_versions.add(2)
        made.name(2)
        assert deploy.wait_until(lambda: rejected, timeout_s=12.0)
        assert made.all_hold(2, timeout_s=12.0)
        assert deploy.wait_until(lambda: not rejected)


def test_manifest_that_lacks_a_digest_is_read_again():
    """Guards against weights whose last piece is of the version before."""
    with fleet(1, 1, 1) as made:
        made.origin.short_manifest_versions.add(2)
        made.name(2)
        assert made.all_hold(2)
        assert made.origin.manifest_reads > 1
        made.check_loads()


def test_fetched_version_is_fetched_again_if_it_has_more_pieces():
    """Guards against a load with the digests of an earlier configuration."""
    with fleet(1, version_ms=8000.0) as made:
        (agent,) = made.agents.values()
        updater = agent.weights_updater
        made.store.put("config", "main", made.configuration(2, PIECES - 1))
        updater.configuration.refresh(0.0)
        assert updater._piece_count() == PIECES - 1
        made.origin.short_manifest_versions.add(2)
        made.name(2)
        assert deploy.wait_until(
            lambda: any(
                s.version == 2 and not s.missing
                for s in agent.peer_server.stores
            )
        )
        made.store.put("config", "main", made.configuration(3))
        updater.configuration.refresh(0.0)
        assert updater._piece_count() == PIECES
        assert made.all_hold(2, timeout_s=12.0)
        made.check_loads()


def test_changed_number_of_pieces_is_read_when_a_manifest_has_it():
    """Agents read the configuration once; the number may change later."""
    with fleet(1) as made:
        (agent,) = made.agents.values()
        updater = agent.weights_updater
        made.store.put("config", "main", made.configuration(2, PIECES - 1))
        updater.configuration.refresh(0.0)
        assert updater._piece_count() == PIECES - 1
        made.store.put("config", "main", made.configuration(3))
        made.name(2)
        assert made.all_hold(2)
        made.check_loads()


def test_staged_piece_is_read_back_once_for_all_ranges(monkeypatch):
    monkeypatch.setattr(_peer_client, "RANGE_BYTES", 8)
    with fleet(1) as made:
        (agent,) = made.agents.values()
        reads = []
        read_piece = agent.peer_server.target.read_piece

        def counted(model, index):
            reads.append(index)
            return read_piece(model, index)

        agent.peer_server.target.read_piece = counted
        client = _peer_client.PeerClient(port=made.port)
        wanted = _pieces.PieceStore(
            model=MODEL, version=1, digests=("",) * PIECES
        )
        piece = fakes.expected_piece(1, 3)
        found = client.piece(
            made.ips[0],
            wanted,
            3,
            size_bytes=len(piece),
            throttle=lambda size_bytes: None,
        )
        assert found == piece
        assert reads == [3]
