"""An entry process that is stopped while the operator evacuates a zone."""

import http.client
import signal
import subprocess
import sys

import eventlet
import pytest

from tests.gateway import deployment as deploy
from zinniadyke import fakes

# By then the watches that the entry had begun have ended without a change.
WATCHES_ENDED_S = 3.5
# Longer than the bound.
EVACUATED_S = 5.5
CALLERS = 8
ZONES_EVACUATED = "3011"
SETTINGS = """
[host]
name = "e1"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
regions = [{{ zone = "z1", region = "r1" }}]
ports = [{port}, {port}]

[store]
address = "{store}"

[listen]
requests = "127.0.0.1:{requests}"
ready = "127.0.0.1:{ready}"

[bounds]
evacuate_ms = 5000
"""


@pytest.fixture
def store():
    made = fakes.FakeStore()
    yield made
    made.stop()


@pytest.fixture
def target(store):
    made = fakes.ScriptedTarget(
        script=lambda exchange: exchange.answer(200, b"done")
    )
    spec = {
        "service": "desk",
        "address": made.address,
        "zone": "z1",
        "slots": 4,
        "version": "v1",
        "state": "ready",
        "cold_remaining_ms": 0,
        "seq": 1,
    }
    store.put("config", "main", deploy.configuration())
    store.put("servers", "t1", spec)
    yield made
    made.stop()


@pytest.fixture
def entry(store, target, tmp_path):
    """A process and the address on which it takes requests."""
    ports = [deploy.free_port() for _ in range(3)]
    path = tmp_path / "settings.toml"
    path.write_text(
        SETTINGS.format(
            port=ports[0],
            store=store.address,
            requests=ports[1],
            ready=ports[2],
        )
    )
    process = subprocess.Popen(
        [sys.executable, "-m", "zinniadyke", "gateway", "--config", str(path)],
        stdout=(tmp_path / "entry.log").open("w"),
        stderr=subprocess.STDOUT,
    )
    yield process, f"127.0.0.1:{ports[1]}"
    process.kill()
    process.wait()


def ask(address):
    """Return the status and result code; 0 without an answer."""
    connection = http.client.HTTPConnection(address, timeout=20.0)
    try:
        connection.request(
            "POST",
            "/once/x",
            headers={
                "Host": "h.example",
                "X-Zinniadyke-Request-Id": "q",
                "X-Zinniadyke-Deadline-Ms": "15000",
                "X-Zinniadyke-Key": deploy.KEY,
            },
        )
        answer = connection.getresponse()
        answer.read()
        return answer.status, answer.headers.get("Zinniadyke-Code")
    except (http.client.HTTPException, OSError):
        return 0, None
    finally:
        connection.close()


def test_requests_that_a_frozen_entry_received_reach_no_evacuated_zone(
    store, target, entry
):
    process, address = entry
    assert deploy.wait_until(lambda: ask(address)[0] == 200, 20.0)
    before = len(target.seen)
    process.send_signal(signal.SIGSTOP)
    asked = [eventlet.spawn(ask, address) for _ in range(CALLERS)]
    eventlet.sleep(WATCHES_ENDED_S)
    store.put("evacuations", "z1", {})
    eventlet.sleep(EVACUATED_S)
    process.send_signal(signal.SIGCONT)
    assert {a.wait() for a in asked} == {(503, ZONES_EVACUATED)}
    assert len(target.seen) == before
