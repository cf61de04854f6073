"""Measures unit costs for docs/CAPACITY.md: messages, configuration.

Prints one JSON line with sizes in bytes, processor time in microseconds
and memory in bytes, each per unit, such as a message or an object.

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

ROUND_TRIP_COUNT = 3000
FRAME_COUNT = 20000
OBJECT_COUNT = 5000
TOKEN_EVENT = (
    b'data: {"choices":[{"index":0,"delta":{"content":"word "}}]}\n\n'
)


def memory_bytes() -> int:
    """Return the resident memory of this process, in bytes."""
    gc.collect()
    for line in pathlib.Path("/proc/self/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) * 1024
    return 0


def build_status() -> peers.Status:
    """Return a typical status message of an agent."""
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


def build_frames_header(sequence: int) -> peers.Frames:
    """Return the header of one part of a streamed answer."""
    return peers.Frames(
        request_id="r-Zm9vYmFyYmF6",
        attempt=1,
        incarnation="Zm9vYmFyYmF6",
        sequence=sequence,
    )


def measure_messages(context: zmq.Context) -> dict[str, float]:
    """Measure status round trips and frames, with both ends in one process."""
    server = peers.PeerServer(context=context, address="127.0.0.1:0")
    status_reply = build_status()

    def stream(inbound: peers.InboundMessage) -> None:
        for number in range(FRAME_COUNT):
            inbound.reply(build_frames_header(number), TOKEN_EVENT)

    server.register_handler(
        peers.GetStatus, lambda inbound: inbound.reply(status_reply)
    )
    server.register_handler(peers.Run, stream)
    server.start()
    connection = peers.PeerConnection(context=context, address=server.address)
    connection.send_and_receive(peers.GetStatus(), 5)
    before = time.process_time()
    for _ in range(ROUND_TRIP_COUNT):
        connection.send_and_receive(peers.GetStatus(), 5)
    round_trip_s = (time.process_time() - before) / ROUND_TRIP_COUNT
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
    for _ in range(FRAME_COUNT):
        call.receive(30)
    frame_s = (time.process_time() - before) / FRAME_COUNT
    connection.close()
    server.stop()
    return {
        "status_round_trip_us_both_ends": round_trip_s * 1e6,
        "status_bytes": len(_codec.encode(status_reply)),
        "frame_us_both_ends": frame_s * 1e6,
        "frame_header_bytes": len(_codec.encode(build_frames_header(10))),
    }


def measure_configuration() -> dict[str, float]:
    """Measure a configuration store with many objects and one change."""
    documents = {
        f"route/w{n}/r": b'{"model":"drafting","classes":["clerk"]}'
        for n in range(OBJECT_COUNT)
    }
    store = control.ConfigStore()
    empty_bytes = memory_bytes()
    store.install(
        peers.Delta(base=0, revision=1, changed=documents, removed=[])
    )
    store_bytes = memory_bytes() - empty_bytes
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
        "object_bytes": store_bytes / OBJECT_COUNT,
        "change_us_per_object_held": install * 1e6 / OBJECT_COUNT,
        "delta_bytes": len(_codec.encode(peers.SyncReply(delta=change))),
        "head_bytes_per_object": len(str(key)) + 40,
        "sync_bytes": len(_codec.encode(sync)),
        "sync_reply_bytes": len(_codec.encode(peers.SyncReply())),
    }


def main() -> None:
    """Run the measurements."""
    context = zmq.Context()
    results = {**measure_messages(context), **measure_configuration()}
    print(json.dumps({k: round(v, 1) for k, v in results.items()}))


if __name__ == "__main__":
    main()
