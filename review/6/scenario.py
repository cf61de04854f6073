"""The origin's manifest of new weights is corrupted once."""

import json
import pathlib
import sys
import threading
import time
from urllib import parse

sys.path.insert(0, str(pathlib.Path(__file__).resolve().parents[1]))

import harness_2 as harness

MODEL_SERVERS = 3
CLIENTS = 4
CALM_S = 5.0
WATCHED_S = 14.0


class TroubledOrigin(harness.Origin):
    """Sends one manifest with some spoilt bytes.

    Attributes
    ----------
    troubled
        Whether the next manifest is corrupted.
    """

    troubled = False

    def __init__(self, ip: str, record: harness.Record) -> None:
        self.record = record
        super().__init__(ip)

    def handle(self, sock, method, target, headers, body) -> None:
        """Answer soundly, but for one manifest."""
        url = parse.urlsplit(target)
        if not (self.troubled and url.path.startswith("/v1/manifest/")):
            super().handle(sock, method, target, headers, body)
            return
        self.troubled = False
        version = int(parse.parse_qs(url.query)["version"][0])
        digests = [
            harness.digest_of(version, n) for n in range(harness.PIECES)
        ]
        sound = json.dumps(
            {
                "model": harness.MODEL,
                "version": version,
                "chunk_bytes": harness.PIECE_BYTES,
                "layers": harness.LAYERS,
                "digests": digests,
            }
        )
        spoilt = f', "{digests[-1]}"'
        corrupted = sound.replace(spoilt, " " * len(spoilt))
        self.record.write(
            f"the origin answers GET {target} with {len(spoilt)} of"
            f" {len(sound)} bytes spoilt"
        )
        harness.send_answer(
            sock, 200, corrupted.encode(), Content_Type="application/json"
        )


class WatchedServer(harness.ModelServer):
    """Notes whether what it loads is whole.

    Attributes
    ----------
    spoilt
        Pieces that were not of the loaded version, by version.
    """

    def __init__(self, **options) -> None:
        self.spoilt: dict[int, list[int]] = {}
        super().__init__(**options)

    def accepted(self, order: dict) -> None:
        """Compare what is staged with the ordered version."""
        version = order["version"]
        self.spoilt[version] = [
            index
            for index in range(harness.PIECES)
            if self.staged.get(index) != harness.piece_of(version, index)
        ]
        self.record.write(
            f"{self.name} takes version {version}; pieces that are not of"
            f" it: {self.spoilt[version]}"
        )


def scenario(deployment: harness.Deployment) -> bool:
    """Return whether a request ran on weights that were not whole."""
    record, network, store = (
        deployment.record,
        deployment.network,
        deployment.store,
    )
    origin = TroubledOrigin(network.new_ip(), record)
    store.put(
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
            ],
            [
                harness.engine_service("drafting"),
                {
                    "name": "records",
                    "origin": origin.address,
                    "zone": harness.ZONE,
                    "link_mbps": 9.9,
                    "max_connections": 48,
                },
            ],
        ),
    )
    store.put(
        "versions", harness.MODEL, {"model": harness.MODEL, "version": 1}
    )
    servers = []
    for number in range(1, MODEL_SERVERS + 1):
        server = WatchedServer(
            record=record,
            store=store,
            ip=network.new_ip(),
            name=f"i-model-{number}",
            service="drafting",
        )
        server.register()
        servers.append(server)
        deployment.start_program(
            "sidecar",
            f"side-{number}",
            server.address.partition(":")[0],
            app=server.address,
            service="drafting",
            limits={"memory_mb": 168, "link_mbps": 3.8},
        )
    stop = threading.Event()

    def beat() -> None:
        while not stop.wait(1.2):
            for server in servers:
                server.register()

    threading.Thread(target=beat, daemon=True).start()
    gateway = deployment.start_gateway("front-1")

    def ask(name: str) -> None:
        client = harness.Client(
            record=record, address=gateway.front, name=name
        )
        while not stop.is_set():
            client.ask(
                "/summary/x",
                deadline_ms=6000,
                headers={
                    "X-Zinniadyke-Model": harness.MODEL,
                    "X-Zinniadyke-Token-Counts": "1290,120",
                    "X-Zinniadyke-Prefix-Hash": "5c1e07a2:40,91bd3f06:1250",
                },
            )
            stop.wait(0.1)

    for number in range(CLIENTS):
        threading.Thread(
            target=ask, args=(f"client{number}",), daemon=True
        ).start()
    time.sleep(CALM_S)
    origin.troubled = harness.TROUBLE
    store.put(
        "versions", harness.MODEL, {"model": harness.MODEL, "version": 2}
    )
    record.write("version 2 is named and acknowledged")
    time.sleep(WATCHED_S)
    stop.set()
    bad = 0
    new = 0
    for server in servers:
        runs = [r for r in server.runs if r[2] == 2]
        new += len(runs)
        if server.spoilt.get(2):
            bad += len(runs)
        record.write(
            f"{server.name}: {len(runs)} requests ran on version 2, taken"
            f" with {len(server.spoilt.get(2, []))} wrong pieces"
        )
    if not any(server.runs for server in servers) or not new:
        raise harness.CannotRunError("nothing ran on version 2")
    return bad > 0


harness.play(__file__, scenario)
