"""Measures configuration changes with real agents on one platform.

Prints one JSON line: time until a change is in force on all agents, platform
calls, and processor time and memory per process, at rest and at one change
per second. ``--kill-watcher`` kills a watcher, an agent that watches the
platform for its zone, halfway through the phase with changes.

    python benchmarks/control.py --processes 50
"""

import argparse
import datetime
import json
import pathlib
import statistics
import tempfile
import time

import processes
import urllib3

from zinniadyke import control
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import language
from zinniadyke import objects
from zinniadyke import platform
from zinniadyke import rendezvous

ZONES = ["cairo", "alexandria", "asyut"]
READY_TIMEOUT_S = 120.0
IN_FORCE_TIMEOUT_S = 20.0


class Fleet:
    """Fake services and agents, each in its own process.

    Parameters
    ----------
    count
        Number of agents.
    """

    def __init__(self, *, count: int, directory: pathlib.Path) -> None:
        """Start all processes."""
        self.directory = directory
        self.launcher = processes.ProcessLauncher(directory=directory)
        platform_address, service_address, *peer_addresses = (
            processes.free_addresses(count + 2)
        )
        self.url = f"http://{platform_address}"
        self.client = platform.PlatformClient(url=self.url)
        self.http = urllib3.PoolManager()
        self.hosts = [
            platform.Host(
                name=ids.HostName(f"host-{n}"),
                role=platform.HostRole.TARGET,
                zone=ids.ZoneName(ZONES[n % len(ZONES)]),
                region="egypt",
                peer=peer,
                service=ids.ServiceName("records"),
            )
            for n, peer in enumerate(peer_addresses)
        ]
        self._start_fake("platform", platform_address)
        self._start_fake("service", service_address)
        self._register_hosts()
        self.agents = [
            self._start_agent(host, platform_address, service_address)
            for host in self.hosts
        ]

    def _start_fake(self, kind: str, address: str) -> None:
        text = f'[fake.{kind}]\naddress = "{address}"\n'
        self.launcher.start(["fake", kind], kind, text)

    def _start_agent(self, host, platform_address, service_address):
        text = processes.AGENT_SETTINGS.format(
            platform=platform_address,
            name=host.name,
            zone=host.zone,
            service="records",
            peer=host.peer,
            engine=service_address,
        )
        return self.launcher.start(["agent"], host.name, text)

    def _register_hosts(self) -> None:
        deadline = time.monotonic() + READY_TIMEOUT_S
        for host in self.hosts:
            while not self._try_add_host(host):
                if time.monotonic() > deadline:
                    raise SystemExit("the fake platform did not start in time")
                time.sleep(0.1)

    def _try_add_host(self, host: platform.Host) -> bool:
        try:
            self.client.add_host(host)
        except errors.ConflictError:
            return True
        except errors.PlatformError:
            return False
        return True

    def accept(self, number: int) -> int:
        """Submit one change and return its revision."""
        text = f"workspace w {{ share = {number + 1} }}"
        if number == 0:
            text += " service records { kind = plain }"
        changes = language.to_changes(
            language.parse(text), objects.Configuration()
        )
        return control.accept(
            self.client,
            changes,
            author="bench",
            change_id=ids.new_change_id(),
        ).revision

    def in_force_times(self, host: platform.Host) -> dict[int, float]:
        """Return wall-clock time by revision, from an agent's log."""
        found = {}
        log = self.directory / f"{host.name}.log"
        for line in log.read_text().splitlines():
            record = json.loads(line)
            if record["message"] == "in force":
                at = datetime.datetime.strptime(
                    record["time"], "%Y-%m-%d %H:%M:%S,%f"
                )
                found[record["revision"]] = at.timestamp()
        return found

    def wait_until_in_force(self, revision: int, hosts) -> bool:
        """Wait until all hosts have a revision in force; return whether so."""
        deadline = time.monotonic() + READY_TIMEOUT_S
        while time.monotonic() < deadline:
            if all(
                max(self.in_force_times(h), default=0) >= revision
                for h in hosts
            ):
                return True
            time.sleep(0.2)
        return False

    def counters(self) -> dict[str, int]:
        """Return the platform's numbers of reads and writes so far."""
        answer = self.http.request("GET", self.url + "/counters")
        return json.loads(answer.data)

    def cpu_s(self) -> float:
        """Return the processor time of all agents so far, in seconds."""
        return sum(processes.cpu_s(p.pid) for p in self.agents)

    def memory_mib(self) -> list[float]:
        """Return the resident memory of each agent, in MiB."""
        return [processes.memory_mib(p.pid) for p in self.agents]


def measure_phase(
    fleet: Fleet, seconds: float, change=None
) -> dict[str, float]:
    """Measure one phase; call ``change`` once per second."""
    counters_before, cpu_before_s = fleet.counters(), fleet.cpu_s()
    start_time = time.monotonic()
    number = 0
    while time.monotonic() - start_time < seconds:
        if change is not None:
            change(number)
        number += 1
        time.sleep(max(0.0, start_time + number - time.monotonic()))
    elapsed = time.monotonic() - start_time
    counters_after = fleet.counters()
    return {
        "reads_per_s": (counters_after["reads"] - counters_before["reads"])
        / elapsed,
        "writes_per_s": (counters_after["writes"] - counters_before["writes"])
        / elapsed,
        "cpu_share": (fleet.cpu_s() - cpu_before_s)
        / elapsed
        / len(fleet.agents),
    }


def main() -> None:
    """Run the benchmark."""
    parser = argparse.ArgumentParser()
    parser.add_argument("--processes", type=int, default=10)
    parser.add_argument("--seconds", type=float, default=20)
    parser.add_argument("--kill-watcher", action="store_true")
    options = parser.parse_args()
    with tempfile.TemporaryDirectory() as name:
        fleet = Fleet(count=options.processes, directory=pathlib.Path(name))
        try:
            print(json.dumps(run(fleet, options)))
        finally:
            fleet.launcher.stop()


def run(fleet: Fleet, options: argparse.Namespace) -> dict:
    """Measure at rest and at one change per second."""
    accepted: dict[int, float] = {}
    watcher = first_watcher(fleet.hosts)

    def change(number: int) -> None:
        revision = fleet.accept(len(accepted))
        accepted[revision] = time.time()
        if options.kill_watcher and number == options.seconds // 2:
            fleet.agents[watcher].kill()

    change(0)
    if not fleet.wait_until_in_force(1, fleet.hosts):
        raise SystemExit("the agents did not apply the first revision in time")
    time.sleep(3)
    at_rest = measure_phase(fleet, options.seconds)
    with_changes = measure_phase(fleet, options.seconds, change)
    hosts = list(fleet.hosts)
    if options.kill_watcher:
        del hosts[watcher]
    all_in_force = fleet.wait_until_in_force(max(accepted), hosts)
    delays = in_force_delays(fleet, hosts, accepted)
    memory = fleet.memory_mib()
    return {
        "processes": options.processes,
        "watcher_killed": options.kill_watcher,
        "changes": len(accepted) - 1,
        "all_in_force": all_in_force,
        "in_force_p50_s": statistics.median(delays),
        "in_force_p100_s": max(delays),
        "rest": at_rest,
        "one_change_a_second": with_changes,
        "memory_mib_median": statistics.median(memory),
        "memory_mib_max": max(memory),
    }


def first_watcher(hosts: list[platform.Host]) -> int:
    """Return the index of the first watcher in the first zone."""
    zone = [h for h in hosts if h.zone == ZONES[0]]
    line = sorted(zone, key=lambda h: rendezvous.weight("sync", h.name))
    return hosts.index(line[0])


def in_force_delays(fleet, hosts, accepted) -> list[float]:
    """Return the time until in force per host and change, in seconds.

    If a host applies two changes in one step, the first is in force from
    that time as well.
    """
    delays = []
    for host in hosts:
        found = fleet.in_force_times(host)
        for revision, at in accepted.items():
            later_times = [t for r, t in found.items() if r >= revision]
            if revision > 1 and later_times:
                delays.append(min(later_times) - at)
    return delays


if __name__ == "__main__":
    main()
