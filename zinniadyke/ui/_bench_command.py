"""``zinniadyke bench``."""

import json

from cleo.commands.command import Command
from cleo.helpers import option

import msgspec

from zinniadyke import errors
from zinniadyke import language


class BenchRolloutCommand(Command):
    """Measures rollouts against their lower bounds."""

    name = "bench rollout"
    description = "Measures a rollout on loopback with paced links."
    options = [
        option("hosts", None, "Hosts.", flag=False, default="24"),
        option("size", None, "Bytes.", flag=False, default="8MiB"),
        option("favour", None, "origin or time", flag=False, default="origin"),
        option("strategy", None, "Strategy.", flag=False, default="tree"),
        option("chunks", None, "Chunks.", flag=False, default="96"),
        option("wanted", None, "Time.", flag=False, default="16s"),
        option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench
        from zinniadyke import objects

        strategy = self.option("strategy")
        if strategy not in bench.STRATEGIES:
            allowed = ", ".join(bench.STRATEGIES)
            raise errors.UserError(f"--strategy takes one of {allowed}")
        try:
            favour = objects.Favour(self.option("favour"))
        except ValueError:
            raise errors.UserError("--favour takes origin or time")
        result = bench.run_rollout(
            bench.RolloutOptions(
                hosts=whole_number(self, "hosts"),
                size=whole_number(self, "size"),
                favour=favour,
                strategy=strategy,
                chunks=whole_number(self, "chunks"),
                wanted_s=language.duration_s(self.option("wanted")),
                seed=whole_number(self, "seed"),
            )
        )
        return report(self, result)


class BenchRequestsCommand(Command):
    """Measures what an entry adds to the engine's own time."""

    name = "bench requests"
    description = "Measures requests through an entry and direct calls."
    options = [
        option("rate", None, "Requests/s.", flag=False, default="195"),
        option("seconds", None, "Time.", flag=False, default="10"),
        option("targets", None, "Targets.", flag=False, default="6"),
        option("read-back", None, "Engines ignore fencing numbers."),
        option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench

        result = bench.run_requests(
            bench.RequestsOptions(
                rate=whole_number(self, "rate"),
                seconds=whole_number(self, "seconds"),
                targets=whole_number(self, "targets"),
                checks_fencing=not self.option("read-back"),
                seed=whole_number(self, "seed"),
            )
        )
        return report(self, result)


OVERLOAD_OPTIONS = [
    option("seconds", None, "Time a load.", flag=False, default="30"),
    option("targets", None, "Targets.", flag=False, default="4"),
    option("seed", None, "Seed.", flag=False, default="1"),
]


class BenchOverloadCommand(Command):
    """Measures classes and workspaces above a service's capacity."""

    name = "bench overload"
    description = "Measures who waits when a service is over its capacity."
    options = OVERLOAD_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench

        return report(self, bench.run_overload(overload_options(self)))


class BenchCeilingsCommand(Command):
    """Compares ceilings on the dispatch of lower classes."""

    name = "bench ceilings"
    description = "Compares ceilings on lower classes; one line a load."
    options = OVERLOAD_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench

        for row in bench.run_ceilings(overload_options(self)):
            self.line(json.dumps(msgspec.to_builtins(row)))
        return 0


class BenchPlacementCommand(Command):
    """Plays loads on the decisions of entries, on virtual time."""

    name = "bench placement"
    description = "Measures who is served on heavy loads; no network."
    options = [
        option("seconds", None, "Time a load.", flag=False, default="30"),
        option("seed", None, "Seed.", flag=False, default="1"),
    ]

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench

        result = bench.run_placement(
            bench.PlacementOptions(
                seconds=whole_number(self, "seconds"),
                seed=whole_number(self, "seed"),
            )
        )
        return report(self, result)


def overload_options(command: Command):
    """Return the options of an overload bench."""
    from zinniadyke import bench

    return bench.OverloadOptions(
        seconds=whole_number(command, "seconds"),
        targets=whole_number(command, "targets"),
        seed=whole_number(command, "seed"),
    )


def report(command: Command, result) -> int:
    """Print figures and unmet bounds; return the exit code."""
    from zinniadyke import bench

    command.line(json.dumps(msgspec.to_builtins(result)))
    lines = bench.describe_unmet_bounds(result.bounds())
    for line in lines:
        command.line_error(f"bound not met: {line}")
    return 1 if lines else 0


def whole_number(command: Command, name: str) -> int:
    """Return an option as a whole number above 0.

    Raises
    ------
    UserError
        It is none.
    """
    value = language.interpret(command.option(name))
    if type(value) is not int or value < 1:
        raise errors.UserError(f"--{name} takes a whole number above 0")
    return value
