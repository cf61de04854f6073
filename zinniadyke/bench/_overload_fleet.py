"""Small fleet for running several loads in sequence."""

import msgspec

from zinniadyke.bench import _load_generator
from zinniadyke.bench import _single_entry
from zinniadyke import demo
from zinniadyke import entry
from zinniadyke import fakes
from zinniadyke import requests

KIB = 1024
SLOTS = 4
SERVICE_TIME_S = 0.25
# With equal service times slots become free in bursts, unlike real engines.
WORD_TIME_JITTER = 0.5
WORKSPACE_COUNT = 5
CRITICAL, STANDARD, BACKGROUND = "critical", "standard", "background"
TWO_CLASS_SHARES = {CRITICAL: 0.3, STANDARD: 0.7}
THREE_CLASS_SHARES = {CRITICAL: 0.3, STANDARD: 0.4, BACKGROUND: 0.3}
NOISY, OTHER = "noisy", "other"
FLEET_DECLARATIONS = """
service drafting { kind = model slots = %d checks_fencing = true }
model drafting { service = drafting }
"""
WORKSPACE_DECLARATIONS = """
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
    """Options of the overload benchmark.

    Attributes
    ----------
    seconds
        Duration of each load, in seconds.
    """

    seconds: float = 30.0
    targets: int = 4
    seed: int = 1


class OverloadFleet:
    """Fleet that runs one load after another.

    Parameters
    ----------
    options
        Size of the fleet and duration of each load.
    """

    def __init__(self, *, options: OverloadOptions) -> None:
        """Start the fleet."""
        self.options = options
        self.cluster = _single_entry.build_cluster(
            targets=options.targets,
            classes=list(THREE_CLASS_SHARES),
            checks_fencing=True,
            seed=options.seed,
        )
        self.capacity_per_s = options.targets * SLOTS / SERVICE_TIME_S
        _prepare(self.cluster)

    @property
    def pool(self) -> entry.TargetPool:
        """The target pool of the entry."""
        return self.cluster.entries[0].requests.pools["drafting"]

    def run(
        self, streams: list[_load_generator.RequestStream]
    ) -> _load_generator.LoadResult:
        """Run one load."""
        load = _load_generator.LoadGenerator(
            url=self.cluster.entries[0].url,
            capacity_per_s=self.capacity_per_s,
            seed=self.options.seed,
        )
        return load.run(streams, self.options.seconds)

    def stop(self) -> None:
        """Stop the fleet."""
        self.cluster.stop()


def class_streams(
    load: float, class_shares: dict[str, float]
) -> list[_load_generator.RequestStream]:
    """Return one stream per class of one workspace.

    Parameters
    ----------
    class_shares
        Share of the load by class; the shares add up to 1.
    """
    return [
        _load_generator.RequestStream(
            workspace=OTHER,
            request_class=class_name,
            label=class_name,
            load=share * load,
        )
        for class_name, share in class_shares.items()
    ]


def _prepare(cluster: demo.Cluster) -> None:
    for engine in cluster.engines.values():
        engine.seconds_per_word = SERVICE_TIME_S / fakes.WORDS_PER_ANSWER
        engine.word_time_jitter = WORD_TIME_JITTER
    cluster.start()
    release = cluster.release("1", 4 * KIB, KIB)
    declarations = (
        FLEET_DECLARATIONS % SLOTS
        + release.declaration
        + cluster.rollout_declaration("1", 1)
    )
    names = [NOISY, OTHER] + [
        f"{OTHER}-{i}" for i in range(2, WORKSPACE_COUNT)
    ]
    for name in names:
        token = requests.hash_token(demo.demo_token(name))
        declarations += WORKSPACE_DECLARATIONS.format(name=name, token=token)
    _single_entry.apply_declarations(cluster, declarations)
