"""``zinniadyke demo``."""

import importlib.resources
import json
import pathlib

from cleo.commands.command import Command
from cleo.helpers import option
import msgspec

from zinniadyke import errors
from zinniadyke import language

# Data of the package, so that an installed wheel has it.
DEFAULT_EXAMPLES = importlib.resources.files("zinniadyke").joinpath(
    "demo", "deployments"
)


class DemoCommand(Command):
    """Runs the demo: a rollout under traffic in one process, on fakes."""

    name = "demo"
    description = "Rolls out a new version under traffic, and reports."
    options = [
        option(
            "deployment",
            None,
            "hafez or saskatoon",
            flag=False,
            default="hafez",
        ),
        option("size", None, "Size.", flag=False, default="64MiB"),
        option("seed", None, "Seed.", flag=False, default="1"),
        option("rate", None, "Calls a second.", flag=False, default="60"),
        option("examples", None, "Declarations.", flag=False),
        option("json", None, "Print the report as JSON."),
    ]

    def handle(self) -> int:
        """Run the command."""
        from zinniadyke import demo

        report = demo.run_demo(self._demo_options(demo), self._print_progress)
        if self.option("json"):
            self.line(json.dumps(msgspec.to_builtins(report)))
        else:
            self.line(demo.format_report(report))
        return 1 if report.broken else 0

    def _demo_options(self, demo):
        deployment = self.option("deployment")
        if deployment not in demo.DEPLOYMENTS:
            allowed = " or ".join(demo.DEPLOYMENTS)
            raise errors.UserError(f"--deployment must be {allowed}")
        size = language.interpret(self.option("size"))
        seed = language.interpret(self.option("seed"))
        rate = language.interpret(self.option("rate"))
        if type(size) is not int or size < 1:
            raise errors.UserError("--size must be a size such as 64MiB")
        if type(seed) is not int:
            raise errors.UserError("--seed must be an integer")
        if type(rate) not in (int, float) or rate <= 0:
            raise errors.UserError("--rate must be a number above 0")
        examples = self.option("examples") or DEFAULT_EXAMPLES
        return demo.DemoOptions(
            deployment=deployment,
            examples=pathlib.Path(str(examples)),
            size=size,
            seed=seed,
            rate=rate,
        )

    def _print_progress(self, line: str) -> None:
        if not self.option("json"):
            self.line(line)
