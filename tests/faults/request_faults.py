"""Faults of the request matrix, each a function of cell and agent."""

import eventlet
import msgspec

from tests.faults import request_cell
from zinniadyke import ids
from zinniadyke import peers
from zinniadyke import platform

STALL_S = 1.5
OUTAGE_S = 3.0


def target_dies(cell, agent) -> None:
    name = agent.node.me.name
    beside = cell.cluster.engines | cell.cluster.services
    beside[name].stop()
    eventlet.spawn_n(agent.stop)
    eventlet.sleep(0)


def agent_restarts(cell, agent) -> None:
    def restart() -> None:
        agent.stop()
        again = cell.cluster.make_agent(
            agent.node.me.name,
            agent.service,
            0,
            agent.settings.engine,
        )
        again.start()
        cell.cluster.publish_hosts()

    eventlet.spawn_n(restart)
    eventlet.sleep(0)


def entry_dies(cell, agent) -> None:
    cell.dead.add("entry-1")

    def die() -> None:
        cell.cluster.entries[0].stop()
        for task in cell.tasks.values():
            task.kill()

    eventlet.spawn_n(die)


def _wrap_send(agent, wrapper) -> None:
    server = agent.node.server
    inner = server.send

    def send(peer, call_id, message, payload):
        wrapper(inner, peer, call_id, message, payload)

    server.send = send


def link_stalls(cell, agent) -> None:
    def late(inner, *parts) -> None:
        eventlet.spawn_after(STALL_S, inner, *parts)

    _wrap_send(agent, late)


def frames_doubled(cell, agent) -> None:
    def twice(inner, *parts) -> None:
        inner(*parts)
        inner(*parts)

    _wrap_send(agent, twice)


def frames_reordered(cell, agent) -> None:
    held = []

    def swap(inner, peer, call_id, message, payload) -> None:
        parts = (peer, call_id, message, payload)
        if isinstance(message, peers.Frames) and not held:
            held.append(parts)
            return
        inner(*parts)
        while held:
            inner(*held.pop())

    _wrap_send(agent, swap)


def frames_of_another(cell, agent) -> None:
    def crossed(inner, peer, call_id, message, payload) -> None:
        if isinstance(message, peers.Frames):
            other = msgspec.structs.replace(
                message, request_id=ids.RequestId("r-other")
            )
            inner(peer, call_id, other, b"of another caller")
        inner(peer, call_id, message, payload)

    _wrap_send(agent, crossed)


def frames_lost(cell, agent) -> None:
    def lose(inner, peer, call_id, message, payload) -> None:
        frame = isinstance(message, peers.Frames)
        if not (frame and message.sequence % 3 == 2):
            inner(peer, call_id, message, payload)

    _wrap_send(agent, lose)


def caller_leaves(cell, agent) -> None:
    def leave() -> None:
        for task in cell.tasks.values():
            task.kill()
        cell.pool.clear()

    eventlet.spawn_n(leave)
    eventlet.sleep(0)


def caller_retries_elsewhere(cell, agent) -> None:
    again = msgspec.structs.replace(cell.probes[0], name="keyed again")
    eventlet.spawn_n(cell.send, again, 1)
    eventlet.sleep(0.01)


def platform_down(cell, agent) -> None:
    faults = cell.cluster.platform.faults

    def outage() -> None:
        faults.down = True
        eventlet.sleep(OUTAGE_S)
        faults.down = False

    eventlet.spawn_n(outage)
    eventlet.sleep(0)


def answers_lost(cell, agent) -> None:
    cell.cluster.platform.faults.lose_answers = 2


def version_swapped(cell, agent) -> None:
    release = cell.cluster.releases["2"]
    text = release.declaration + cell.cluster.rollout_declaration("2", 2)
    operator_client = cell.cluster.operator_client(1)
    eventlet.spawn_n(operator_client.send, "apply", text)
    if cell.step in request_cell.AGENT_STEPS:
        # The drain waits for this very request.
        eventlet.sleep(0.05)
    else:
        cell.wait(lambda: len(cell.cluster.serving("2")) == 2)


def _links(cell):
    for pool in cell.cluster.entries[0].requests.pools.values():
        yield from pool.links.values()


def run_doubled(cell, agent) -> None:
    """The entry's messages reach the agents twice."""
    for link in _links(cell):
        connection = link.connection
        inner = connection.send

        def twice(*parts, inner=inner) -> None:
            inner(*parts)
            inner(*parts)

        connection.send = twice


def run_late(cell, agent) -> None:
    """A request reaches the agent after the entry has given it up."""
    for link in _links(cell):
        connection = link.connection
        inner = connection.send

        def late(call, message, payload=b"", inner=inner, to=connection):
            if not isinstance(message, peers.Run) or to in delayed:
                inner(call, message, payload)
                return
            delayed.append(to)
            eventlet.spawn_after(0.2, to.fail_calls)
            eventlet.spawn_after(0.5, inner, call, message, payload)

        connection.send = late
    delayed = []


def first_answers_lost(cell, agent) -> None:
    """Requests run, and the answers to first attempts are lost."""

    def lose(inner, peer, call_id, message, payload) -> None:
        answers = peers.Begin | peers.Frames | peers.End
        if not (isinstance(message, answers) and message.attempt == 1):
            inner(peer, call_id, message, payload)

    for every in cell.cluster.agents.values():
        _wrap_send(every, lose)
    for link in _links(cell):
        eventlet.spawn_after(0.5, link.connection.fail_calls)


def target_leaves(cell, agent) -> None:
    hosts = [
        msgspec.structs.replace(h, state=platform.HostState.LEAVING)
        if h.name == agent.node.me.name
        else h
        for h in cell.cluster.platform.hosts()
    ]
    cell.cluster.platform.set_hosts(hosts)


SINGLE = [
    target_dies,
    agent_restarts,
    entry_dies,
    link_stalls,
    frames_doubled,
    frames_reordered,
    frames_of_another,
    frames_lost,
    caller_leaves,
    caller_retries_elsewhere,
    platform_down,
    answers_lost,
    version_swapped,
    run_doubled,
    run_late,
    first_answers_lost,
    target_leaves,
]
PAIRS = [
    (agent_restarts, caller_retries_elsewhere),
    (answers_lost, target_dies),
    (link_stalls, version_swapped),
    (platform_down, caller_retries_elsewhere),
]


def both(first, second):
    """Return a fault that causes two faults, one right after the other."""

    def fault(cell, agent) -> None:
        first(cell, agent)
        second(cell, agent)

    return fault
