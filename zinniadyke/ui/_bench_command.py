"""``zinniadyke bench``."""

import json

from cleo.commands.command import Command
from cleo.helpers import option

import msgspec

from zinniadyke import errors
from zinniadyke import language


class BenchRolloutCommand(Command):
    """Measures a rollout and compares it with its lower bound."""

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
            raise errors.UserError(f"--strategy must be one of {allowed}")
        try:
            favour = objects.Favour(self.option("favour"))
        except ValueError:
            raise errors.UserError("--favour must be origin or time")
        result = bench.run_rollout(
            bench.RolloutOptions(
                hosts=positive_integer(self, "hosts"),
                size=positive_integer(self, "size"),
                favour=favour,
                strategy=strategy,
                chunks=positive_integer(self, "chunks"),
                wanted_s=language.duration_s(self.option("wanted")),
                seed=positive_integer(self, "seed"),
            )
        )
        return print_result(self, result)


class BenchRequestsCommand(Command):
    """Measures the latency that an entry adds to a direct call."""

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
                rate=positive_integer(self, "rate"),
                seconds=positive_integer(self, "seconds"),
                targets=positive_integer(self, "targets"),
                checks_fencing=not self.option("read-back"),
                seed=positive_integer(self, "seed"),
            )
        )
        return print_result(self, result)


OVERLOAD_OPTIONS = [
    option("seconds", None, "Time a load.", flag=False, default="30"),
    option("targets", None, "Targets.", flag=False, default="4"),
    option("seed", None, "Seed.", flag=False, default="1"),
]


class BenchOverloadCommand(Command):
    """Measures latency by class and workspace above the capacity."""

    name = "bench overload"
    description = "Measures who waits when a service is over its capacity."
    options = OVERLOAD_OPTIONS

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench

        return print_result(self, bench.run_overload(overload_options(self)))


class BenchCeilingsCommand(Command):
    """Compares ceilings on the dispatch of lower request classes."""

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
    """Simulates the decisions of entries under load, on virtual time."""

    name = "bench placement"
    description = "Measures who is served on heavy loads; no network."
    options = [
        option("load", None, "'shared hosts', or all", flag=False, default=""),
        option("seconds", None, "Time a load.", flag=False, default="30"),
        option("seed", None, "Seed.", flag=False, default="1"),
        option(
            "classes",
            None,
            "Play classes of different urgency by this method, or by all.",
            flag=False,
            default="none",
        ),
    ]

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench

        options = bench.PlacementOptions(
            seconds=positive_integer(self, "seconds"),
            seed=positive_integer(self, "seed"),
        )
        load, method = self.option("load"), self.option("classes")
        if load:
            if load != bench.SHARED_HOSTS:
                raise errors.UserError(
                    f"--load must be '{bench.SHARED_HOSTS}'"
                )
            if method != "none":
                raise errors.UserError(
                    "--load and --classes exclude each other"
                )
            for row in bench.run_shared_hosts(options):
                self.line(json.dumps(msgspec.to_builtins(row)))
            return 0
        if method == "none":
            return print_result(self, bench.run_placement(options))
        methods = list(bench.METHODS) if method == "all" else [method]
        if not set(methods) <= set(bench.METHODS):
            raise errors.UserError(
                f"--classes must be all or one of {', '.join(bench.METHODS)}"
            )
        return print_result(self, bench.run_classes(options, methods))


class BenchRestartCommand(Command):
    """Restarts entries one by one under load."""

    name = "bench restart"
    description = "Counts what callers get while entries are restarted."
    options = [
        option("entries", None, "Entries.", flag=False, default="3"),
        option("callers", None, "Callers an entry.", flag=False, default="10"),
        option("work", None, "A target's ms.", flag=False, default="300"),
        option("timeout", None, "Route's ms.", flag=False, default="1500"),
        option("grace", None, "Grace in s.", flag=False, default="8"),
        option("repeatable", None, "Requests may be repeated."),
        option("plot", None, "File of a plot.", flag=False, default=""),
    ]

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import bench

        repeatable = self.option("repeatable")
        result = bench.run_restart(
            bench.RestartOptions(
                entries=positive_integer(self, "entries"),
                callers=positive_integer(self, "callers"),
                work_ms=positive_integer(self, "work"),
                timeout_ms=positive_integer(self, "timeout"),
                grace_s=positive_integer(self, "grace"),
                kind="idempotent" if repeatable else "non_idempotent",
            )
        )
        for line in bench.restart_table(result):
            self.line_error(line)
        if self.option("plot"):
            try:
                bench.plot_restart(result, self.option("plot"))
            except ImportError as error:
                raise errors.UserError(
                    f"--plot needs zinniadyke[plot]: {error}"
                )
        return print_result(self, result)


def overload_options(command: Command):
    """Return the options of the overload and ceilings benchmarks."""
    from zinniadyke import bench

    return bench.OverloadOptions(
        seconds=positive_integer(command, "seconds"),
        targets=positive_integer(command, "targets"),
        seed=positive_integer(command, "seed"),
    )


def print_result(command: Command, result) -> int:
    """Print a result and its unmet bounds; return the exit code."""
    from zinniadyke import bench

    command.line(json.dumps(msgspec.to_builtins(result)))
    lines = bench.describe_unmet_bounds(result.bounds())
    for line in lines:
        command.line_error(f"bound not met: {line}")
    return 1 if lines else 0


def positive_integer(command: Command, name: str) -> int:
    """Return the value of an option as an integer above 0.

    Raises
    ------
    UserError
        The value is not an integer above 0.
    """
    value = language.interpret(command.option(name))
    if type(value) is not int or value < 1:
        raise errors.UserError(f"--{name} must be an integer above 0")
    return value
