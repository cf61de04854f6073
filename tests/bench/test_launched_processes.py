"""The processes that benchmarks start, whose logs they read."""

import importlib.util
import json
import pathlib

from tests.gateway import deployment

REPOSITORY = pathlib.Path(__file__).parents[2]


def load_launcher():
    """Import benchmarks/processes.py, which is no part of a package."""
    path = REPOSITORY / "benchmarks" / "processes.py"
    spec = importlib.util.spec_from_file_location("processes", path)
    module = importlib.util.module_from_spec(spec)
    spec.loader.exec_module(module)
    return module


def test_log_of_a_launched_process_is_kept(tmp_path):
    """Benchmarks wait for log lines, which processes write to stdout."""
    module = load_launcher()
    launcher = module.ProcessLauncher(directory=tmp_path)
    addresses = [f"127.0.0.1:{deployment.free_port()}" for _ in range(3)]
    text = module.AGENT_SETTINGS.format(
        platform=addresses[0],
        name="host-1",
        zone="cairo",
        service="records",
        peer=addresses[1],
        engine=addresses[2],
    )
    try:
        launcher.start(["agent"], "host-1", text)
        log = tmp_path / "host-1.log"
        assert deployment.wait_until(lambda: "\n" in log.read_text(), 30.0)
        assert json.loads(log.read_text().splitlines()[0])["message"]
    finally:
        launcher.stop()
