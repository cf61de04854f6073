"""Measures a rollout with each agent and engine in its own process.

Prints one JSON line: times until the first, half and all of the hosts have
staged and serve the version, the ratio to the fluid lower bound, and the
copies read from the origin and across zones.

    python benchmarks/rollout_processes.py --hosts 96
"""

import argparse
import datetime
import hashlib
import json
import pathlib
import random
import tempfile
import time

from zinniadyke import _runtime

_runtime.patch()

import eventlet
import processes

from zinniadyke import bench
from zinniadyke import operators
from zinniadyke import requests
from zinniadyke import weights

MIB = 1 << 20
KIB = 1 << 10
# Must equal the seed in ORIGIN_SETTINGS: the manifest's digest is computed
# from the same bytes.
SEED = 7
START_TIMEOUT_S = 120.0
ROLLOUT_TIMEOUT_S = 240.0
# Copies of the version that a link carries within the wanted time.
ORIGIN_LINK_COPIES = 4
HOST_LINK_COPIES = 2
ZONES = ["cairo", "alexandria", "asyut"]
LINK_SETTINGS = """
upload_mib_s = {rate}
download_mib_s = {rate}
burst_kib = {chunk}
"""
ORIGIN_SETTINGS = """
[fake.origin]
address = "{address}"
mib_s = {rate}
[[fake.origin.blobs]]
name = "drafting-1"
size_mib = {size}
seed = 7
chunk_kib = {chunk}
"""
FLEET_DECLARATIONS = """
service drafting {{ kind = model checks_fencing = true }}
model drafting {{ service = drafting }}
version 1 of drafting {{ source = "http://{origin}/drafting-1"
  digest = "{digest}" }}
"""
ROLLOUT_DECLARATION = """
rollout r1 {{ model = drafting version = 1 floor = 0 favour = {favour} }}
"""


class ProcessCluster:
    """One entry, and agents with engines, each in its own process."""

    def __init__(
        self, *, options: argparse.Namespace, directory: pathlib.Path
    ) -> None:
        """Start all processes."""
        self.options = options
        self.directory = directory
        self.launcher = processes.ProcessLauncher(directory=directory)
        count = options.hosts
        platform, origin, http, peer, *rest = processes.free_addresses(
            4 + 2 * count
        )
        self.origin = origin
        self.url = f"http://{http}"
        self.admin = requests.new_token("fleet")
        self.names = [f"host-{n}" for n in range(count)]
        rate = options.size / options.wanted
        self._start_fakes(platform, origin, peer, rest[count:], rate)
        for name, engine, agent in zip(
            self.names, rest[:count], rest[count:], strict=True
        ):
            text = f'[fake.engine]\naddress = "{engine}"\n'
            self.launcher.start(["fake", "engine"], f"engine-{name}", text)
            text = processes.AGENT_SETTINGS.format(
                platform=platform,
                name=name,
                zone=self.zone(name),
                service="drafting",
                peer=agent,
                engine=engine,
            ) + LINK_SETTINGS.format(
                rate=HOST_LINK_COPIES * rate, chunk=options.chunk
            )
            self.launcher.start(["agent"], name, text)
        text = processes.ENTRY_SETTINGS.format(
            platform=platform,
            http=http,
            peer=peer,
            admin=requests.hash_token(self.admin),
        )
        self.launcher.start(["entry"], "entry-1", text)

    def zone(self, name: str) -> str:
        """Return a host's availability zone."""
        return ZONES[self.names.index(name) % len(ZONES)]

    def _start_fakes(self, platform, origin, peer, agents, rate) -> None:
        hosts = processes.HOST_SETTINGS.format(
            name="entry-1", role="entry", zone=ZONES[0], peer=peer, service=""
        )
        for name, agent in zip(self.names, agents, strict=True):
            hosts += processes.HOST_SETTINGS.format(
                name=name,
                role="target",
                zone=self.zone(name),
                peer=agent,
                service="drafting",
            )
        text = f'[fake.platform]\naddress = "{platform}"\n{hosts}'
        self.launcher.start(["fake", "platform"], "platform", text)
        text = ORIGIN_SETTINGS.format(
            address=origin,
            rate=ORIGIN_LINK_COPIES * rate,
            size=self.options.size,
            chunk=self.options.chunk,
        )
        self.launcher.start(["fake", "origin"], "origin", text)

    def prepare(self) -> operators.OperatorClient:
        """Declare the version and wait until all agents have it in force."""
        deadline = time.monotonic() + START_TIMEOUT_S
        processes.wait_until_responding(self.url, START_TIMEOUT_S)
        blob = random.Random(SEED).randbytes(self.options.size * MIB)
        manifest = weights.build_manifest(blob, self.options.chunk * KIB)
        digest = hashlib.sha256(manifest.encode()).hexdigest()
        client = operators.OperatorClient(url=self.url, token=self.admin)
        client.send(
            "apply",
            FLEET_DECLARATIONS.format(origin=self.origin, digest=digest),
        )
        self.wait_for_records("in force", deadline - time.monotonic())
        eventlet.sleep(3)
        return client

    def records(self, message: str) -> list[dict]:
        """Return the first record with a message from each agent's log."""
        found = []
        for name in self.names:
            log = (self.directory / f"{name}.log").read_text()
            for line in log.splitlines():
                record = json.loads(line)
                if record["message"] == message:
                    found.append(record)
                    break
        return found

    def wait_for_records(self, message: str, timeout_s: float) -> list[dict]:
        """Wait until all agents have logged a message; return the records.

        Raises
        ------
        SystemExit
            An agent did not log it in time.
        """
        deadline = time.monotonic() + timeout_s
        while time.monotonic() < deadline:
            found = self.records(message)
            if len(found) == len(self.names):
                return found
            eventlet.sleep(0.5)
        raise SystemExit(f"not every agent logged '{message}' in time")


def elapsed_times_s(records: list[dict], start_time: float) -> list[float]:
    """Return sorted times since ``start_time`` (wall clock), in seconds."""
    return sorted(
        datetime.datetime.strptime(
            record["time"], "%Y-%m-%d %H:%M:%S,%f"
        ).timestamp()
        - start_time
        for record in records
    )


def measure(cluster: ProcessCluster, options: argparse.Namespace) -> dict:
    """Roll out the version and return the results."""
    client = cluster.prepare()
    start_time = time.time()
    client.send("apply", ROLLOUT_DECLARATION.format(favour=options.favour))
    serving = elapsed_times_s(
        cluster.wait_for_records("serving", ROLLOUT_TIMEOUT_S), start_time
    )
    records = cluster.records("staged")
    staged = elapsed_times_s(records, start_time)
    size = options.size * MIB
    bound = bench.fluid_bound_s(size, options.hosts, options.wanted)
    return {
        "hosts": options.hosts,
        "size_mib": options.size,
        "chunk_kib": options.chunk,
        "favour": options.favour,
        "bound_s": bound,
        "staged_first_half_all_s": _first_half_all(staged),
        "serving_first_half_all_s": _first_half_all(serving),
        "ratio": staged[-1] / bound,
        "origin_copies": sum(r["origin_bytes"] for r in records) / size,
        "cross_zone_copies": sum(r["other_zone_bytes"] for r in records)
        / size,
        "timeouts": sum(r["timeouts"] for r in records),
    }


def _first_half_all(times: list[float]) -> list[float]:
    half = times[(len(times) - 1) // 2]
    return [round(t, 2) for t in (times[0], half, times[-1])]


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--hosts", type=int, default=24)
    parser.add_argument("--size", type=int, default=8, help="in MiB")
    parser.add_argument("--chunk", type=int, default=32, help="in KiB")
    parser.add_argument("--wanted", type=float, default=24.0)
    parser.add_argument("--favour", default="origin")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        cluster = ProcessCluster(options=options, directory=pathlib.Path(name))
        try:
            print(json.dumps(measure(cluster, options)))
        finally:
            cluster.launcher.stop()


if __name__ == "__main__":
    main()
