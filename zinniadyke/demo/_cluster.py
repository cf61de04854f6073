"""Runs a deployment of fakes, entries and agents in one process."""

import hashlib
import pathlib
import random

import msgspec

from zinniadyke import agent
from zinniadyke.demo import _deployment
from zinniadyke import entry
from zinniadyke import fakes
from zinniadyke import language
from zinniadyke import objects
from zinniadyke import operators
from zinniadyke import requests
from zinniadyke.settings import AgentSettings
from zinniadyke.settings import EntrySettings
from zinniadyke import weights

MIB = 1 << 20
LOOPBACK_ADDRESS = "127.0.0.1:0"
DEMO_SECRET = "demo-only"


class Release(msgspec.Struct, frozen=True, kw_only=True):
    """A version of the weights that the origin holds.

    Attributes
    ----------
    content
        SHA-256 digest of the weights, in hex.
    declaration
        Declaration of the version, in the declaration language.
    """

    version: str
    size: int
    content: str
    declaration: str


class Cluster:
    """All processes of a deployment, run as green threads.

    Parameters
    ----------
    link_mib_s
        Rate of each host's link per direction, in MiB/s; 0 for no limit.
    origin_mib_s
        Rate of the origin's link, in MiB/s; 0 for no limit.
    """

    def __init__(
        self,
        *,
        deployment: _deployment.Deployment,
        seed: int = 1,
        link_mib_s: float = 0.0,
        origin_mib_s: float = 0.0,
    ) -> None:
        """Create the processes; ``start`` starts entries and agents."""
        self.deployment = deployment
        self.random = random.Random(seed)
        self.link_mib_s = link_mib_s
        self.platform = fakes.FakePlatform()
        self.origin = fakes.FakeOrigin(bytes_per_s=origin_mib_s * MIB)
        self.engines: dict[str, fakes.FakeEngine] = {}
        self.services: dict[str, fakes.FakeService] = {}
        self.agents: dict[str, agent.Agent] = {}
        self.entries: list[entry.Entry] = []
        self.releases: dict[str, Release] = {}
        self.admin_token = requests.new_token("fleet")
        self._build()

    def _build(self) -> None:
        deployment = self.deployment
        for spec in [deployment.model_service, *deployment.plain_services]:
            for number in range(spec.targets):
                self.add_target(spec, number)
        admin = requests.hash_token(self.admin_token)
        for number in range(deployment.entries):
            settings = EntrySettings(
                name=f"entry-{number + 1}",
                zone=self._zone(number),
                region=deployment.region,
                http=LOOPBACK_ADDRESS,
                peer=LOOPBACK_ADDRESS,
                admin_tokens=[admin],
            )
            self.entries.append(
                entry.Entry(settings=settings, platform_url=self.platform.url)
            )

    def add_target(
        self, spec: _deployment.ServiceSpec, number: int
    ) -> agent.Agent:
        """Create a target's fake server and its agent, not started yet."""
        name = f"{spec.name}-{number + 1}"
        if spec is self.deployment.model_service:
            fake_server = fakes.FakeEngine(
                checks_fencing=self.deployment.checks_fencing
            )
            self.engines[name] = fake_server
        else:
            fake_server = fakes.FakeService()
            self.services[name] = fake_server
        return self.make_agent(name, spec.name, number, fake_server.url)

    def make_agent(
        self, name: str, service: str, number: int, engine_url: str
    ) -> agent.Agent:
        """Create a target's agent; it replaces one of the same name."""
        settings = AgentSettings(
            name=name,
            zone=self._zone(number),
            region=self.deployment.region,
            service=service,
            peer=LOOPBACK_ADDRESS,
            engine=engine_url,
            upload_mib_s=self.link_mib_s,
            download_mib_s=self.link_mib_s,
        )
        created = agent.Agent(
            settings=settings, platform_url=self.platform.url
        )
        self.agents[name] = created
        return created

    def _zone(self, number: int) -> str:
        zones = self.deployment.zones
        return zones[number % len(zones)]

    def publish_hosts(self) -> None:
        """Set the platform's list of hosts to the current processes."""
        processes = [*self.entries, *self.agents.values()]
        self.platform.set_hosts([p.node.me for p in processes])

    def start(self) -> None:
        """Start all processes."""
        self.publish_hosts()
        for process in [*self.entries, *self.agents.values()]:
            process.start()

    def stop(self) -> None:
        """Stop all processes and fakes."""
        for process in [*self.entries, *self.agents.values()]:
            process.stop()
        for fake in [*self.engines.values(), *self.services.values()]:
            fake.stop()
        self.origin.stop()
        self.platform.stop()

    def release(self, version: str, size: int, chunk_size: int) -> Release:
        """Store random bytes at the origin as a version and return it.

        The bytes depend on the seed of the cluster.
        """
        data = self.random.randbytes(size)
        name = f"{self.deployment.model}-{version}"
        manifest = weights.build_manifest(data, chunk_size)
        encoded = manifest.encode()
        self.origin.put(name, data)
        self.origin.put(name + weights.MANIFEST_SUFFIX, encoded)
        key = objects.ObjectKey(
            kind="version", scope=self.deployment.model, name=version
        )
        declared = objects.Version(
            source=f"{self.origin.url}/{name}",
            digest=hashlib.sha256(encoded).hexdigest(),
        )
        created = Release(
            version=version,
            size=size,
            content=manifest.content,
            declaration=language.render_object(key, declared),
        )
        self.releases[version] = created
        return created

    def rollout_declaration(
        self, version: str, sequence: int, **fields
    ) -> str:
        """Return the text that declares a rollout of a version."""
        key = objects.ObjectKey(kind="rollout", name=f"r{version}")
        fields.setdefault("favour", self.deployment.favour)
        fields.setdefault("floor", self.deployment.floor)
        declared = objects.Rollout(
            model=self.deployment.model,
            version=version,
            sequence=sequence,
            **fields,
        )
        return language.render_object(key, declared)

    def operator_client(self, number: int = 0) -> operators.OperatorClient:
        """Return an operator's client for an entry."""
        return operators.OperatorClient(
            url=self.entries[number].url, token=self.admin_token
        )

    def apply_files(self, directory: pathlib.Path) -> dict:
        """Apply the deployment's declaration files."""
        files = operators.declaration_files([str(directory)])
        text = "\n".join(operators.read_text(path) for path in files)
        return self.operator_client().send("apply", text)

    def origin_copies(self, version: str) -> float:
        """Return how many copies of a version the origin sent."""
        name = f"{self.deployment.model}-{version}"
        size = self.releases[version].size
        return self.origin.bytes_sent[name] / size

    def serving(self, version: str) -> list[str]:
        """Return the targets that serve a version."""
        name = f"{self.deployment.model}/{version}"
        return [
            host
            for host in self.engines
            if self.agents[host].gate.version == name
            and self.agents[host].gate.state.value == "serving"
        ]

    def reaches_all_targets(self, process: entry.Entry) -> bool:
        """Return whether an entry can send requests to every target."""
        links = [
            link
            for pool in process.requests.pools.values()
            for link in pool.links.values()
        ]
        return len(links) == len(self.agents) and all(
            link.accepts_work for link in links
        )

    def count_serving_targets(self) -> int:
        """Return how many targets of the model serve any version."""
        return sum(
            self.agents[host].gate.state.value == "serving"
            for host in self.engines
        )


def demo_token(workspace: str) -> str:
    """Return the token whose hash the example declarations contain."""
    return f"zd.{workspace}.{DEMO_SECRET}"
