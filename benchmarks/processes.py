"""Starts the processes of a benchmark and measures their resources."""

import os
import pathlib
import socket
import subprocess
import sys
import time

import urllib3

POLL_INTERVAL_S = 0.1
CLOCK_TICKS_PER_S = os.sysconf("SC_CLK_TCK")
ENTRY_SETTINGS = """
[platform]
url = "http://{platform}"
[log]
level = "warning"
[entry]
name = "entry-1"
zone = "cairo"
region = "egypt"
http = "{http}"
peer = "{peer}"
admin_tokens = ["{admin}"]
"""
AGENT_SETTINGS = """
[platform]
url = "http://{platform}"
[agent]
name = "{name}"
zone = "{zone}"
region = "egypt"
service = "{service}"
peer = "{peer}"
engine = "http://{engine}"
"""
HOST_SETTINGS = """
[[fake.platform.hosts]]
name = "{name}"
role = "{role}"
zone = "{zone}"
region = "egypt"
peer = "{peer}"
service = "{service}"
"""


def free_addresses(count: int) -> list[str]:
    """Return loopback addresses that were just free."""
    sockets = [socket.create_server(("127.0.0.1", 0)) for _ in range(count)]
    addresses = [f"127.0.0.1:{s.getsockname()[1]}" for s in sockets]
    for opened in sockets:
        opened.close()
    return addresses


class ProcessLauncher:
    """Starts processes with their settings files in one directory.

    Parameters
    ----------
    directory
        Directory for settings files, logs (standard output, ``NAME.log``)
        and start-up errors (standard error, ``NAME.err``).
    """

    def __init__(self, *, directory: pathlib.Path) -> None:
        """Start without processes."""
        self.directory = directory
        self.processes: list[subprocess.Popen] = []

    def start(
        self, command: list[str], name: str, settings: str
    ) -> subprocess.Popen:
        """Start ``zinniadyke COMMAND --config NAME.toml``."""
        path = self.directory / f"{name}.toml"
        path.write_text(settings)
        arguments = [sys.executable, "-m", "zinniadyke", *command]
        process = subprocess.Popen(
            [*arguments, "--config", str(path)],
            stdout=(self.directory / f"{name}.log").open("w"),
            stderr=(self.directory / f"{name}.err").open("w"),
        )
        self.processes.append(process)
        return process

    def stop(self) -> None:
        """Kill every process that this launcher started."""
        for process in self.processes:
            process.kill()
        for process in self.processes:
            process.wait()


def wait_until_responding(url: str, timeout_s: float) -> None:
    """Wait until an entry responds, for at most ``timeout_s`` seconds."""
    pool = urllib3.PoolManager(retries=False)
    deadline = time.monotonic() + timeout_s
    while time.monotonic() < deadline:
        try:
            pool.request("GET", url + "/healthz")
            return
        except urllib3.exceptions.HTTPError:
            time.sleep(POLL_INTERVAL_S)


def cpu_s(pid: int) -> float:
    """Return the processor time of a process, in seconds."""
    try:
        fields = pathlib.Path(f"/proc/{pid}/stat").read_text()
    except OSError:
        return 0.0
    user, system = fields.rpartition(")")[2].split()[11:13]
    return (int(user) + int(system)) / CLOCK_TICKS_PER_S


def memory_mib(pid: int) -> float:
    """Return the resident memory of a process, in MiB."""
    for line in pathlib.Path(f"/proc/{pid}/status").read_text().splitlines():
        if line.startswith("VmRSS"):
            return int(line.split()[1]) / 1024
    return 0.0
