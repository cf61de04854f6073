"""A small fleet that takes one load after another."""

import msgspec

from zinniadyke.bench import _load
from zinniadyke.bench import _one_entry
from zinniadyke import demo
from zinniadyke import entry
from zinniadyke import fakes
from zinniadyke import requests

KIB = 1024
SLOTS = 4
SERVICE_S = 0.25
# With equal times the slots come free in clumps, as no engine's do.
PACE_SPREAD = 0.5
WORKSPACES = 5
CRITICAL, STANDARD, BACKGROUND = "critical", "standard", "background"
TWO_CLASSES = {CRITICAL: 0.3, STANDARD: 0.7}
THREE_CLASSES = {CRITICAL: 0.3, STANDARD: 0.4, BACKGROUND: 0.3}
NOISY, OTHER = "noisy", "other"
FLEET = """
service drafting { kind = model slots = %d checks_fencing = true }
model drafting { service = drafting }
"""
WORKSPACE = """
workspace {name} {{ tokens = ["{token}"] }}
route critical of {name} {{
    model = drafting classes = [critical] priority = 0
}}
route standard of {name} {{
    model = drafting classes = [standard] priority = 1
}}
route background of {name} {{
    model = drafting classes = [background] priority = 2
}}
"""


class OverloadOptions(msgspec.Struct, frozen=True, kw_only=True):
    """Options of the overload bench.

    Attributes
    ----------
    seconds
        Length of each of the four loads.
    """

    seconds: float = 30.0
    targets: int = 4
    seed: int = 1


class OverloadFleet:
    """A fleet that takes one load after another.

    Parameters
    ----------
    options
        Size of the fleet and length of each load.
    """

    def __init__(self, *, options: OverloadOptions) -> None:
        """Start the fleet."""
        self.options = options
        self.cluster = _one_entry.build_cluster(
            targets=options.targets,
            classes=list(THREE_CLASSES),
            checks_fencing=True,
            seed=options.seed,
        )
        self.capacity_per_s = options.targets * SLOTS / SERVICE_S
        _prepare(self.cluster)

    @property
    def pool(self) -> entry.TargetPool:
        """The entry's pool of targets."""
        return self.cluster.entries[0].requests.pools["drafting"]

    def run(self, streams: list[_load.Stream]) -> _load.LoadResult:
        """Run one load."""
        load = _load.Load(
            url=self.cluster.entries[0].url,
            capacity_per_s=self.capacity_per_s,
            seed=self.options.seed,
        )
        return load.run(streams, self.options.seconds)

    def stop(self) -> None:
        """Stop the fleet."""
        self.cluster.stop()


def class_streams(load: float, parts: dict[str, float]) -> list[_load.Stream]:
    """Return the classes of one workspace; ``parts`` add up to 1."""
    return [
        _load.Stream(
            workspace=OTHER, request_class=c, label=c, load=part * load
        )
        for c, part in parts.items()
    ]


def _prepare(cluster: demo.Cluster) -> None:
    for engine in cluster.engines.values():
        engine.seconds_per_word = SERVICE_S / fakes.WORDS_PER_ANSWER
        engine.pace_spread = PACE_SPREAD
    cluster.start()
    release = cluster.release("1", 4 * KIB, KIB)
    text = (
        FLEET % SLOTS
        + release.declaration
        + cluster.rollout_declaration("1", 1)
    )
    names = [NOISY, OTHER] + [f"{OTHER}-{i}" for i in range(2, WORKSPACES)]
    for name in names:
        token = requests.hash_token(demo.demo_token(name))
        text += WORKSPACE.format(name=name, token=token)
    _one_entry.declare(cluster, text)
