"""A server that sends bytes without end, and callers of other servers."""

import pathlib
import sys
import threading
import time

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness_2 as harness

DEADLINE_MS = 1500
ROUTE_TIMEOUT_S = 0.8
# The rule: unanswered at the route's timeout, and half a second later.
LATE_S = ROUTE_TIMEOUT_S + 0.5
CLIENTS = 12
BEFORE_S = 6.0
FLOOD_S = 14.0
AFTER_S = 4.0
# A packet, and the link of a model server's machine on the sheet.
PACKET_BYTES = 1400
LINK_BITS_PER_S = 3.8e6
PROMPT = {
    "X-Zinniadyke-Model": harness.MODEL,
    "X-Zinniadyke-Token-Counts": "1290,120",
    "X-Zinniadyke-Prefix-Hash": "5c1e07a2:40,91bd3f06:1250",
}


class StreamServer(harness.ModelServer):
    """Sends short streams, or blank lines until its caller closes."""

    floods = False

    def run(self, sock, request, headers) -> None:
        """Answer with a stream."""
        if not self.floods:
            super().run(sock, request, headers)
            return
        self.note_run(request, self.version)
        harness.send_stream_head(sock, request)
        self.record.write(f"{self.name} sends blank lines to {request}")
        self.flood(sock)

    def flood(self, sock) -> None:
        """Send blank lines until the caller closes, or trouble ends."""
        block = harness.chunk(b"\n" * PACKET_BYTES)
        sent = 0
        began = time.monotonic()
        try:
            while self.floods:
                sock.sendall(block)
                sent += len(block)
                early_s = sent * 8 / LINK_BITS_PER_S - (
                    time.monotonic() - began
                )
                if early_s > 0:
                    time.sleep(early_s)
        finally:
            self.record.write(f"{self.name} sent {sent} blank lines")


def scenario(deployment: harness.Deployment) -> bool:
    """Return whether sound requests went unanswered."""
    record, network = deployment.record, deployment.network
    deployment.store.put(
        "config",
        "main",
        harness.configuration(
            [
                harness.route(
                    "summary",
                    kind="streaming",
                    service="drafting",
                    stream_resume=True,
                    sticky=True,
                    target_gap_ms=300,
                ),
                harness.route(
                    "slots",
                    service="desk",
                    timeout_ms=int(ROUTE_TIMEOUT_S * 1000),
                    max_attempts=1,
                ),
            ],
            [
                harness.engine_service("drafting"),
                {"name": "desk", "max_connections": 110},
                {
                    "name": "records",
                    "origin": harness.Origin(network.new_ip()).address,
                    "zone": harness.ZONE,
                    "link_mbps": 9.9,
                    "max_connections": 48,
                },
            ],
        ),
    )
    deployment.store.put(
        "versions", harness.MODEL, {"model": harness.MODEL, "version": 1}
    )
    streams = [
        StreamServer(
            record=record,
            store=deployment.store,
            ip=network.new_ip(),
            name=f"i-model-{n}",
            service="drafting",
        )
        for n in (1, 2)
    ]
    for number, server in enumerate(streams, 1):
        deployment.start_program(
            "sidecar",
            f"side-{number}",
            server.address.partition(":")[0],
            app=server.address,
            service="drafting",
            limits={"memory_mb": 168, "link_mbps": 3.8},
        )
    desks = [
        harness.Server(
            record=record,
            store=deployment.store,
            ip=network.new_ip(),
            name=f"i-desk-{n}",
            service="desk",
        )
        for n in (1, 2)
    ]
    for server in (*streams, *desks):
        server.register()
    stop = threading.Event()

    def beat() -> None:
        while not stop.wait(1.2):
            for server in (*streams, *desks):
                server.register()

    threading.Thread(target=beat, daemon=True).start()
    gateway = deployment.start_gateway("front-1")
    time.sleep(2)

    answers: list[harness.Answer] = []

    def call_desk(name: str) -> None:
        client = harness.Client(
            record=record, address=gateway.front, name=name
        )
        while not stop.is_set():
            answers.append(client.ask("/slots/x", deadline_ms=DEADLINE_MS))
            stop.wait(0.2)

    threads = [
        threading.Thread(target=call_desk, args=(f"desk{n}",), daemon=True)
        for n in range(CLIENTS)
    ]
    for thread in threads:
        thread.start()
    reader = harness.Client(
        record=record, address=gateway.front, name="stream"
    )
    reader.ask("/summary/x", deadline_ms=6000, headers=PROMPT)
    time.sleep(BEFORE_S)
    for server in streams:
        server.floods = harness.TROUBLE
    asking = threading.Thread(
        target=reader.ask,
        args=("/summary/x",),
        kwargs={"deadline_ms": 6000, "headers": PROMPT},
        daemon=True,
    )
    troubled_from = time.monotonic()
    asking.start()
    misses = 0
    while time.monotonic() < troubled_from + FLOOD_S:
        time.sleep(1.0)
        ready = gateway.is_ready()
        misses += not ready
        record.write(f"GET /v1/ready: {200 if ready else 'no answer'}")
    troubled_until = time.monotonic()
    for server in streams:
        server.floods = False
    time.sleep(AFTER_S)
    stop.set()
    for thread in threads:
        thread.join(3)

    counted = [
        a
        for a in answers
        if troubled_from <= a.began < troubled_until - LATE_S
        and not (a.status and a.took_s < ROUTE_TIMEOUT_S)
    ]
    unanswered = [a for a in counted if not a.status or a.took_s > LATE_S]
    record.write(
        f"requests to the sound servers in the trouble:"
        f" {sum(troubled_from <= a.began < troubled_until for a in answers)};"
        f" unanswered at the timeout: {len(counted)};"
        f" of these, half a second later: {len(unanswered)};"
        f" questions for readiness without an answer: {misses}"
    )
    if not [a for a in answers if a.began < troubled_from and a.status == 200]:
        raise harness.CannotRunError("nothing was served before the trouble")
    return len(counted) >= 8 and len(unanswered) > len(counted) / 2


harness.play(__file__, scenario)
