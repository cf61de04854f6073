"""Faults of the rollout matrix; each one takes a cell."""

import time

import eventlet

from tests.faults import rollout_cell
from zinniadyke import control
from zinniadyke import peers

OUTAGE_S = 2.0
FOLLOW_UP_DELAY_S = 0.5


def host_dies(cell) -> None:
    cell.hosts_taken_away += 1
    cell.stopped_hosts.add(cell.affected_host)
    cell.agent.stop()
    cell.cluster.engines[cell.affected_host].stop()
    eventlet.sleep(FOLLOW_UP_DELAY_S)
    del cell.cluster.agents[cell.affected_host]
    del cell.cluster.engines[cell.affected_host]
    cell.cluster.publish_hosts()


def host_joins_late(cell) -> None:
    spec = cell.cluster.deployment.model_service
    cell.cluster.add_target(spec, 4).start()
    cell.cluster.publish_hosts()


def agent_restarts(cell) -> None:
    cell.hosts_taken_away += 1
    cell.agent.stop()
    eventlet.sleep(FOLLOW_UP_DELAY_S)
    engine = cell.cluster.engines[cell.affected_host]
    spec = cell.cluster.deployment.model_service
    cell.cluster.make_agent(
        cell.affected_host, spec.name, 1, engine.url
    ).start()
    cell.cluster.publish_hosts()


def link_stalls(cell) -> None:
    cell.agent.chunks.upload_bucket.free_at = time.monotonic() + OUTAGE_S


def corrupt_from_origin(cell) -> None:
    cell.cluster.origin.faults.corrupt_reads = 2


def corrupt_from_peer(cell) -> None:
    server = cell.cluster.agents["drafting-3"].node.server
    send = server.send

    def send_corrupted(peer, call_id, message, payload):
        if isinstance(message, peers.ChunkFound) and message.index >= 0:
            payload = bytes([payload[0] ^ 1]) + payload[1:]
        send(peer, call_id, message, payload)

    server.send = send_corrupted


def origin_changes(cell) -> None:
    name = f"drafting-{rollout_cell.NEW_VERSION}"
    origin = cell.cluster.origin
    correct = origin.blobs[name]
    origin.put(name, correct[::-1])
    eventlet.sleep(OUTAGE_S)
    origin.put(name, correct)


def origin_down(cell) -> None:
    cell.cluster.origin.faults.down = True
    eventlet.sleep(OUTAGE_S)
    cell.cluster.origin.faults.down = False


def origin_slow(cell) -> None:
    cell.cluster.origin.faults.latency_s = 0.3
    eventlet.sleep(OUTAGE_S)
    cell.cluster.origin.faults.latency_s = 0.0


def platform_down(cell) -> None:
    def outage() -> None:
        cell.cluster.platform.faults.down = True
        eventlet.sleep(OUTAGE_S)
        cell.cluster.platform.faults.down = False

    eventlet.spawn(outage)
    eventlet.sleep(0)


def platform_slow(cell) -> None:
    cell.cluster.platform.faults.latency_s = 0.3


def answers_lost(cell) -> None:
    """Make the platform apply three writes without answering."""
    cell.cluster.platform.faults.lose_answers = 3


def two_lease_holders(cell) -> None:
    """Make the lease holder stop renewing and still act as the leader."""
    controller = lease_holder(cell)
    controller.lease.renew_or_acquire = lambda: None
    controller.lease.valid_until = float("inf")
    eventlet.sleep(
        control._lease.LEASE_EXPIRY_S + 2 * control._lease.RENEW_INTERVAL_S
    )


def lease_holder(cell) -> control.RolloutController:
    """Return the controller that holds the lease."""
    found = []

    def find() -> bool:
        for entry in cell.cluster.entries:
            found.extend(
                c for c in entry.rollout_controllers.values() if c.lease.held
            )
        return bool(found)

    cell.wait(find)
    return found[0]


def operator_cancels(cell) -> None:
    """Cancel the rollout, then declare it again under another name."""
    cell.begin_rollout()
    cell.apply(f"cancel rollout r{rollout_cell.NEW_VERSION}")
    eventlet.sleep(FOLLOW_UP_DELAY_S)
    again = cell.cluster.rollout_declaration(rollout_cell.NEW_VERSION, 3)
    cell.apply(again.replace("rollout r2", "rollout r2-again"))


def operator_supersedes(cell) -> None:
    release = cell.cluster.releases[rollout_cell.NEWER_VERSION]
    text = cell.cluster.rollout_declaration(rollout_cell.NEWER_VERSION, 3)
    cell.expected_version = rollout_cell.NEWER_VERSION
    cell.apply(release.declaration + text)


SINGLE = [
    host_dies,
    host_joins_late,
    agent_restarts,
    link_stalls,
    corrupt_from_origin,
    corrupt_from_peer,
    origin_changes,
    origin_down,
    origin_slow,
    platform_down,
    platform_slow,
    answers_lost,
    two_lease_holders,
    operator_cancels,
    operator_supersedes,
]
PAIRS = [
    (host_dies, corrupt_from_peer),
    (platform_down, agent_restarts),
    (origin_down, host_dies),
    (answers_lost, operator_supersedes),
]


def combine(first, second):
    """Return a fault that injects two faults in succession."""

    def fault(cell) -> None:
        first(cell)
        second(cell)

    return fault
