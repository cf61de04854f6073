"""Faults of the rollout matrix, each a function of a cell."""

import time

import eventlet

from tests.faults import rollout_cell
from zinniadyke import control
from zinniadyke import peers

OUTAGE_S = 2.0
LAG_S = 0.5


def host_dies(cell) -> None:
    cell.taken += 1
    cell.stopped.add(cell.victim)
    cell.agent.stop()
    cell.cluster.engines[cell.victim].stop()
    eventlet.sleep(LAG_S)
    del cell.cluster.agents[cell.victim]
    del cell.cluster.engines[cell.victim]
    cell.cluster.publish_hosts()


def host_joins_late(cell) -> None:
    spec = cell.cluster.deployment.model_service
    cell.cluster.add_target(spec, 4).start()
    cell.cluster.publish_hosts()


def agent_restarts(cell) -> None:
    cell.taken += 1
    cell.agent.stop()
    eventlet.sleep(LAG_S)
    engine = cell.cluster.engines[cell.victim]
    spec = cell.cluster.deployment.model_service
    cell.cluster.make_agent(cell.victim, spec.name, 1, engine.url).start()
    cell.cluster.publish_hosts()


def link_stalls(cell) -> None:
    cell.agent.chunks.upload_bucket.free_at = time.monotonic() + OUTAGE_S


def corrupt_from_origin(cell) -> None:
    cell.cluster.origin.faults.corrupt_reads = 2


def corrupt_from_peer(cell) -> None:
    server = cell.cluster.agents["drafting-3"].node.server
    send = server.send

    def spoiled(peer, call_id, message, payload):
        if isinstance(message, peers.ChunkFound) and message.index >= 0:
            payload = bytes([payload[0] ^ 1]) + payload[1:]
        send(peer, call_id, message, payload)

    server.send = spoiled


def origin_changes(cell) -> None:
    name = f"drafting-{rollout_cell.NEW}"
    origin = cell.cluster.origin
    right = origin.blobs[name]
    origin.put(name, right[::-1])
    eventlet.sleep(OUTAGE_S)
    origin.put(name, right)


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
    cell.cluster.platform.faults.lose_answers = 3


def two_holders(cell) -> None:
    """The holder stops renewing and still believes that it leads."""
    controller = holder(cell)
    controller.lease.renew_or_acquire = lambda: None
    controller.lease.valid_until = float("inf")
    eventlet.sleep(
        control._lease.LEASE_EXPIRY_S + 2 * control._lease.RENEW_INTERVAL_S
    )


def holder(cell) -> control.RolloutController:
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
    cell.begin_rollout()
    cell.apply(f"cancel rollout r{rollout_cell.NEW}")
    eventlet.sleep(LAG_S)
    again = cell.cluster.rollout_declaration(rollout_cell.NEW, 3)
    cell.apply(again.replace("rollout r2", "rollout r2-again"))


def operator_supersedes(cell) -> None:
    release = cell.cluster.releases[rollout_cell.NEWER]
    text = cell.cluster.rollout_declaration(rollout_cell.NEWER, 3)
    cell.wanted = rollout_cell.NEWER
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
    two_holders,
    operator_cancels,
    operator_supersedes,
]
PAIRS = [
    (host_dies, corrupt_from_peer),
    (platform_down, agent_restarts),
    (origin_down, host_dies),
    (answers_lost, operator_supersedes),
]


def both(first, second):
    """Return a fault that causes two faults, one right after the other."""

    def fault(cell) -> None:
        first(cell)
        second(cell)

    return fault
