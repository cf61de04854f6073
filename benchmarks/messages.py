"""Measures slopes for docs/CAPACITY.md: messages, frames, configuration.

Prints one JSON line with sizes in bytes, processor time in microseconds
and memory in bytes, each per unit.

    python benchmarks/messages.py
"""

import gc
import json
import pathlib
import time

from zinniadyke import _runtime

_runtime.patch()

from eventlet.green import zmq

from zinniadyke import control
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke.peers import _codec

ROUNDS = 3000
FRAMES = 20000
OBJECTS = 5000
TOKEN = b'data: {"choices":[{"index":0,"delta":{"content":"word "}}]}\n\n'


def memory_bytes() -> int:
    """Return the process's resident memory, in bytes."""
    gc.collect()
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def status() -> peers.Status:
    """Return a status as an agent sends it."""
    return peers.Status(
        host="drafting-1000",
        zone="cairo-1",
        service="drafting",
        incarnation="Zm9vYmFyYmF6",
        gate=peers.GateState.SERVING,
        version="drafting/1000",
        staged=[],
        running=7,
        slots=64,
        revision=3400,
    )


def frames(sequence: int) -> peers.Frames:
    """Return the header of one part of an answer."""
    return peers.Frames(
        request_id="r-Zm9vYmFyYmF6",
        attempt=1,
        incarnation="Zm9vYmFyYmF6",
        sequence=sequence,
    )


def measure_messages(context: zmq.Context) -> dict[str, float]:
    """Measure status round trips and frames, both ends in one process."""
    server = peers.PeerServer(context=context, address="127.0.0.1:0")
    answer = status()

    def stream(inbound: peers.InboundMessage) -> None:
        for number in range(FRAMES):
            inbound.reply(frames(number), TOKEN)

    server.register_handler(
        peers.GetStatus, lambda inbound: inbound.reply(answer)
    )
    server.register_handler(peers.Run, stream)
    server.start()
    connection = peers.PeerConnection(context=context, address=server.address)
    connection.send_and_receive(peers.GetStatus(), 5)
    before = time.process_time()
    for _ in range(ROUNDS):
        connection.send_and_receive(peers.GetStatus(), 5)
    round_trip = (time.process_time() - before) / ROUNDS
    run = peers.Run(
        request_id="r",
        attempt=1,
        incarnation="i",
        workspace="w",
        version="v",
        method="POST",
        path="/",
        headers={},
        stream=True,
        timeout_s=60,
    )
    before = time.process_time()
    call = connection.start(run)
    for _ in range(FRAMES):
        call.receive(30)
    frame = (time.process_time() - before) / FRAMES
    connection.close()
    server.stop()
    return {
        "status_round_trip_us_both_ends": round_trip * 1e6,
        "status_bytes": len(_codec.encode(answer)),
        "frame_us_both_ends": frame * 1e6,
        "frame_header_bytes": len(_codec.encode(frames(10))),
    }


def measure_configuration() -> dict[str, float]:
    """Measure a store of many objects and one change to it."""
    documents = {
        f"route/w{n}/r": b'{"model":"drafting","classes":["clerk"]}'
        for n in range(OBJECTS)
    }
    store = control.ConfigStore()
    empty = memory_bytes()
    store.install(
        peers.Delta(base=0, revision=1, changed=documents, removed=[])
    )
    held = memory_bytes() - empty
    change = peers.Delta(
        base=1, revision=2, changed={"route/w1/r": b"{}"}, removed=[]
    )
    before = time.process_time()
    store.install(change)
    install = time.process_time() - before
    key = objects.ObjectKey(kind="route", scope="w1", name="r")
    sync = peers.Sync(
        host="drafting-1000", revision=1, hosts_digest="0" * 16, wait_s=1.0
    )
    return {
        "object_bytes": held / OBJECTS,
        "change_us_per_object_held": install * 1e6 / OBJECTS,
        "delta_bytes": len(_codec.encode(peers.SyncReply(delta=change))),
        "head_bytes_per_object": len(str(key)) + 40,
        "sync_bytes": len(_codec.encode(sync)),
        "sync_reply_bytes": len(_codec.encode(peers.SyncReply())),
    }


def main() -> None:
    """Run the measurements."""
    context = zmq.Context()
    found = {**measure_messages(context), **measure_configuration()}
    print(json.dumps({k: round(v, 1) for k, v in found.items()}))


if __name__ == "__main__":
    main()
