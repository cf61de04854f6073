"""Faults of the request matrix; each one takes a cell and an agent."""

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
    backends = cell.cluster.engines | cell.cluster.services
    backends[name].stop()
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
    cell.stopped_entries.add("entry-1")

    def stop_entry() -> None:
        cell.cluster.entries[0].stop()
        for task in cell.tasks.values():
            task.kill()

    eventlet.spawn_n(stop_entry)


def _wrap_send(agent, wrapper) -> None:
    server = agent.node.server
    original = server.send

    def send(peer, call_id, message, payload):
        wrapper(original, peer, call_id, message, payload)

    server.send = send


def link_stalls(cell, agent) -> None:
    def send_late(original, *parts) -> None:
        eventlet.spawn_after(STALL_S, original, *parts)

    _wrap_send(agent, send_late)


def frames_duplicated(cell, agent) -> None:
    def send_twice(original, *parts) -> None:
        original(*parts)
        original(*parts)

    _wrap_send(agent, send_twice)


def frames_reordered(cell, agent) -> None:
    held = []

    def send_swapped(original, peer, call_id, message, payload) -> None:
        parts = (peer, call_id, message, payload)
        if isinstance(message, peers.Frames) and not held:
            held.append(parts)
            return
        original(*parts)
        while held:
            original(*held.pop())

    _wrap_send(agent, send_swapped)


def frames_of_another_request(cell, agent) -> None:
    def send_with_other_id(original, peer, call_id, message, payload) -> None:
        if isinstance(message, peers.Frames):
            other = msgspec.structs.replace(
                message, request_id=ids.RequestId("r-other")
            )
            original(peer, call_id, other, b"of another caller")
        original(peer, call_id, message, payload)

    _wrap_send(agent, send_with_other_id)


def frames_lost(cell, agent) -> None:
    def send_unless_lost(original, peer, call_id, message, payload) -> None:
        frame = isinstance(message, peers.Frames)
        if not (frame and message.sequence % 3 == 2):
            original(peer, call_id, message, payload)

    _wrap_send(agent, send_unless_lost)


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
    """Make the platform apply two writes without answering."""
    cell.cluster.platform.faults.lose_answers = 2


def version_changed(cell, agent) -> None:
    release = cell.cluster.releases["2"]
    text = release.declaration + cell.cluster.rollout_declaration("2", 2)
    operator_client = cell.cluster.operator_client(1)
    eventlet.spawn_n(operator_client.send, "apply", text)
    if cell.step in request_cell.AGENT_STEPS:
        # Waiting for version 2 would deadlock: the drain of version 1 waits
        # for this request.
        eventlet.sleep(0.05)
    else:
        cell.wait(lambda: len(cell.cluster.serving("2")) == 2)


def _links(cell):
    for pool in cell.cluster.entries[0].requests.pools.values():
        yield from pool.links.values()


def run_duplicated(cell, agent) -> None:
    """Deliver the entry's messages to the agents twice."""
    for link in _links(cell):
        connection = link.connection
        original = connection.send

        def send_twice(*parts, original=original) -> None:
            original(*parts)
            original(*parts)

        connection.send = send_twice


def run_delayed(cell, agent) -> None:
    """Deliver a request to the agent after the entry has given up on it."""
    for link in _links(cell):
        connection = link.connection
        original = connection.send

        def send_late(
            call, message, payload=b"", original=original, to=connection
        ):
            if not isinstance(message, peers.Run) or to in delayed:
                original(call, message, payload)
                return
            delayed.append(to)
            eventlet.spawn_after(0.2, to.fail_calls)
            eventlet.spawn_after(0.5, original, call, message, payload)

        connection.send = send_late
    delayed = []


def first_answers_lost(cell, agent) -> None:
    """Drop the targets' answers to first attempts; the requests still run."""

    def send_unless_lost(original, peer, call_id, message, payload) -> None:
        answers = peers.Begin | peers.Frames | peers.End
        if not (isinstance(message, answers) and message.attempt == 1):
            original(peer, call_id, message, payload)

    for each_agent in cell.cluster.agents.values():
        _wrap_send(each_agent, send_unless_lost)
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
    frames_duplicated,
    frames_reordered,
    frames_of_another_request,
    frames_lost,
    caller_leaves,
    caller_retries_elsewhere,
    platform_down,
    answers_lost,
    version_changed,
    run_duplicated,
    run_delayed,
    first_answers_lost,
    target_leaves,
]
PAIRS = [
    (agent_restarts, caller_retries_elsewhere),
    (answers_lost, target_dies),
    (link_stalls, version_changed),
    (platform_down, caller_retries_elsewhere),
]


def combine(first, second):
    """Return a fault that injects two faults in succession."""

    def fault(cell, agent) -> None:
        first(cell, agent)
        second(cell, agent)

    return fault
