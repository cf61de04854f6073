"""Measures the latency that an entry adds, with separate processes.

Prints one JSON line: latencies through the entry and direct to the engines,
measured in parallel, the processor time of the entry and the agents per
request, and the memory of the entry and of one agent.

    python benchmarks/request_latency.py --rate 195
"""

import argparse
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
import urllib3

from zinniadyke import bench
from zinniadyke import operators
from zinniadyke import requests
from zinniadyke import weights

MIB = 1 << 20
# Must equal the seed in ORIGIN_SETTINGS: the manifest's digest is computed
# from the same bytes.
SEED = 7
SLOTS = 64
START_TIMEOUT_S = 60.0
CALL_TIMEOUT_S = 30.0
PROMPT = {"model": "drafting", "prompt": "a claim"}
CHAT = {
    "model": "drafting",
    "stream": True,
    "messages": [{"role": "user", "content": "a claim"}],
}
ORIGIN_SETTINGS = """
[fake.origin]
address = "{address}"
[[fake.origin.blobs]]
name = "drafting-1"
size_mib = 1
seed = 7
"""
FLEET_DECLARATIONS = """
service drafting {{ kind = model slots = {slots} checks_fencing = true }}
model drafting {{ service = drafting }}
workspace intake {{ tokens = ["{token}"] }}
route drafting of intake {{ model = drafting }}
version 1 of drafting {{ source = "http://{origin}/drafting-1"
  digest = "{digest}" }}
rollout r1 {{ model = drafting version = 1 floor = 0 }}
"""


class ProcessCluster:
    """One entry, and agents with engines, each in its own process."""

    def __init__(self, *, targets: int, directory: pathlib.Path) -> None:
        """Start all processes and roll out a version."""
        self.launcher = processes.ProcessLauncher(directory=directory)
        addresses = processes.free_addresses(4 + 2 * targets)
        platform, origin, http, peer, *rest = addresses
        self.engines, agents = rest[:targets], rest[targets:]
        self.url = f"http://{http}"
        self.token = requests.new_token("intake")
        self.admin = requests.new_token("fleet")
        names = [f"drafting-{n}" for n in range(targets)]
        hosts = processes.HOST_SETTINGS.format(
            name="entry-1",
            role="entry",
            zone="cairo",
            peer=peer,
            service="",
        ) + "".join(
            processes.HOST_SETTINGS.format(
                name=n,
                role="target",
                zone="cairo",
                peer=p,
                service="drafting",
            )
            for n, p in zip(names, agents, strict=True)
        )
        start = self.launcher.start
        text = f'[fake.platform]\naddress = "{platform}"\n{hosts}'
        start(["fake", "platform"], "platform", text)
        start(
            ["fake", "origin"],
            "origin",
            ORIGIN_SETTINGS.format(address=origin),
        )
        self.agents = []
        for name, engine, agent in zip(
            names, self.engines, agents, strict=True
        ):
            text = f'[fake.engine]\naddress = "{engine}"\n'
            start(["fake", "engine"], f"engine-{name}", text)
            text = processes.AGENT_SETTINGS.format(
                platform=platform,
                name=name,
                zone="cairo",
                service="drafting",
                peer=agent,
                engine=engine,
            )
            self.agents.append(start(["agent"], name, text))
        text = processes.ENTRY_SETTINGS.format(
            platform=platform,
            http=http,
            peer=peer,
            admin=requests.hash_token(self.admin),
        )
        self.entry = start(["entry"], "entry-1", text)
        self._deploy_version(origin, targets)

    def _deploy_version(self, origin: str, targets: int) -> None:
        processes.wait_until_responding(self.url, START_TIMEOUT_S)
        blob = random.Random(SEED).randbytes(MIB)
        encoded = weights.build_manifest(blob, MIB).encode()
        text = FLEET_DECLARATIONS.format(
            slots=SLOTS,
            token=requests.hash_token(self.token),
            origin=origin,
            digest=hashlib.sha256(encoded).hexdigest(),
        )
        client = operators.OperatorClient(url=self.url, token=self.admin)
        client.send("apply", text)
        wait = f"wait rollout r1 until serving >= {targets} within 60s"
        client.send("query", wait, timeout_s=70)
        eventlet.sleep(1)


def measure(cluster: ProcessCluster, options: argparse.Namespace) -> dict:
    """Send requests through the entry and direct, in parallel."""
    http_pool = urllib3.PoolManager(maxsize=256, retries=False)
    rng = random.Random(options.seed)
    path = "/v1/chat/completions" if options.stream else "/v1/completions"
    body = json.dumps(CHAT if options.stream else PROMPT)

    def post(url: str) -> int:
        return http_pool.request(
            "POST",
            url + path,
            body=body,
            headers={"Authorization": f"Bearer {cluster.token}"},
            timeout=CALL_TIMEOUT_S,
        ).status

    generators = [
        bench.OpenLoopGenerator(
            rate=options.rate,
            seed=options.seed,
            send=lambda: post(cluster.url),
        ),
        bench.OpenLoopGenerator(
            rate=options.rate,
            seed=options.seed + 1,
            send=lambda: post(f"http://{rng.choice(cluster.engines)}"),
        ),
    ]
    callers_cpu_before_s = time.process_time()
    entry, agents = cpu_s(cluster)
    tasks = [
        eventlet.spawn(generator.run, options.seconds)
        for generator in generators
    ]
    for task in tasks:
        task.wait()
    entry_after, agents_after = cpu_s(cluster)
    through, direct = (
        generator.histograms.rows()[0] for generator in generators
    )
    count = through["count"]
    return {
        "rate": options.rate,
        "stream": options.stream,
        "through": through,
        "direct": direct,
        "added_p50_ms": through["p50_ms"] - direct["p50_ms"],
        "added_p99_ms": through["p99_ms"] - direct["p99_ms"],
        "callers_cpu_share": (time.process_time() - callers_cpu_before_s)
        / options.seconds,
        "failed": sum(generator.failed for generator in generators),
        "entry_cpu_ms_per_request": (entry_after - entry) / count * 1000,
        "agents_cpu_ms_per_request": (agents_after - agents) / count * 1000,
        "entry_memory_mib": processes.memory_mib(cluster.entry.pid),
        "agent_memory_mib": processes.memory_mib(cluster.agents[0].pid),
    }


def cpu_s(cluster: ProcessCluster) -> tuple[float, float]:
    """Return the processor time of the entry and of all agents, in s."""
    agents = sum(processes.cpu_s(agent.pid) for agent in cluster.agents)
    return processes.cpu_s(cluster.entry.pid), agents


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--rate", type=float, default=195)
    parser.add_argument("--seconds", type=float, default=10)
    parser.add_argument("--targets", type=int, default=6)
    parser.add_argument("--seed", type=int, default=1)
    parser.add_argument("--stream", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        directory = pathlib.Path(name)
        cluster = ProcessCluster(targets=options.targets, directory=directory)
        try:
            print(json.dumps(measure(cluster, options)))
        finally:
            cluster.launcher.stop()


if __name__ == "__main__":
    main()
