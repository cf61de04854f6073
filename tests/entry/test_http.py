"""HTTP API of one entry for callers and operators."""

import json
import logging
import socket

import eventlet
import pytest
import urllib3

from zinniadyke import demo
from zinniadyke import errors
from zinniadyke import objects
from zinniadyke import requests

DEPLOYMENT = demo.Deployment(
    name="http",
    region="egypt",
    zones=["cairo"],
    model="drafting",
    model_service=demo.ServiceSpec(name="drafting", targets=1),
    plain_services=[demo.ServiceSpec(name="records", targets=1)],
    classes=["clerk"],
    checks_fencing=True,
    favour=objects.Favour.ORIGIN,
    floor=0,
    entries=1,
)
OPERATOR_TOKEN = "zd.intake.operator"
DECLARATIONS = f"""
service drafting {{ kind = model }}
service records {{ kind = plain idempotent = ["POST /find"] }}
model drafting {{ service = drafting }}
workspace intake {{
  tokens = ["{requests.hash_token(demo.demo_token("intake"))}"]
  operator_tokens = ["{requests.hash_token(OPERATOR_TOKEN)}"]
}}
workspace other {{
  tokens = ["{requests.hash_token(demo.demo_token("other"))}"]
}}
route drafting of intake {{ model = drafting }}
route records of intake {{ service = records }}
route records of other {{ service = records }}
limit all of other {{ rate = 1 }}
"""


class System:
    """A cluster of one entry, and a caller."""

    def __init__(self) -> None:
        self.cluster = demo.Cluster(deployment=DEPLOYMENT)
        self.pool = urllib3.PoolManager(retries=False)
        self.cluster.start()
        release = self.cluster.release("1", 4096, 1024)
        text = (
            DECLARATIONS
            + release.declaration
            + self.cluster.rollout_declaration("1", 1)
        )
        self.cluster.operator_client().send("apply", text)
        entry = self.cluster.entries[0]
        while not self.cluster.reaches_all_targets(entry):
            eventlet.sleep(0.02)
        self.url = entry.url

    def post(self, path, body, token=None, headers=None, method="POST"):
        token = token or demo.demo_token("intake")
        all_headers = {"Authorization": f"Bearer {token}", **(headers or {})}
        answer = self.pool.request(
            method, self.url + path, body=body, headers=all_headers, timeout=20
        )
        code = int(answer.headers.get("Zinniadyke-Code", 0))
        return answer, errors.ResultCode.from_number(code)

    def query(self, text, token):
        answer, _ = self.post("/operator/v1/query", text, token)
        return json.loads(answer.data)


@pytest.fixture(scope="module")
def system():
    http_system = System()
    yield http_system
    http_system.cluster.stop()


CHAT = {"model": "drafting", "messages": [{"role": "user", "content": "x"}]}


@pytest.mark.parametrize(
    ("path", "body", "code"),
    [
        ("/v1/chat/completions", "not json", "BAD_REQUEST"),
        ("/v1/chat/completions", '{"model": "drafting"}', "BAD_REQUEST"),
        ("/v1/chat/completions", '{"model": 3}', "BAD_REQUEST"),
        ("/v1/completions", '{"model": "drafting"}', "BAD_REQUEST"),
        ("/v1/completions", '{"model": "none", "prompt": "x"}', "NOT_FOUND"),
        ("/services/none/x", "", "NOT_FOUND"),
        ("/elsewhere", "", "NOT_FOUND"),
        ("/services/records/x", "x" * (1 << 20 | 1), "TOO_LARGE"),
    ],
)
def test_invalid_request_gets_4xx_code_and_is_not_run(
    system, path, body, code
):
    answer, found = system.post(path, body)
    assert found.name == code
    assert 400 <= answer.status < 500
    assert answer.headers["Zinniadyke-Ran"] == "not run"
    assert json.loads(answer.data)["error"]["code"] == found.number


@pytest.mark.parametrize(
    "headers",
    [
        {"Zinniadyke-Timeout": "soon"},
        {"Zinniadyke-Timeout": "-1"},
        {"Zinniadyke-Timeout": "nan"},
        {"Idempotency-Key": "k" * 201},
        {"Zinniadyke-Class": "c" * 65},
    ],
)
def test_invalid_headers_are_rejected(system, headers):
    _, code = system.post("/services/records/x", "", headers=headers)
    assert code is errors.ResultCode.BAD_REQUEST


@pytest.mark.parametrize("size", [5000, 15000, 70000])
def test_oversized_request_line_and_headers_get_4xx(system, size):
    host, _, port = system.url.removeprefix("http://").rpartition(":")
    with socket.create_connection((host, int(port)), timeout=10) as raw:
        path = "/" + "x" * size if size == 5000 else "/healthz"
        head = f"GET {path} HTTP/1.1\r\nX: {'y' * (size - 5000)}\r\n\r\n"
        raw.sendall(head.encode())
        status = raw.recv(1000).split()[1]
    assert status.startswith(b"4")


@pytest.mark.parametrize(
    "token",
    ["x", "zd.intake.wrong", "zd.other.operator", "zd..", OPERATOR_TOKEN],
)
def test_wrong_token_is_rejected(system, token):
    answer, code = system.post("/v1/completions", "{}", token=token)
    wanted = {OPERATOR_TOKEN: errors.ResultCode.FORBIDDEN}
    assert code is wanted.get(token, errors.ResultCode.UNAUTHENTICATED)
    assert answer.status in (401, 403)


def test_workspace_reaches_and_sees_only_its_own_objects(system):
    other = demo.demo_token("other")
    body = json.dumps({"model": "drafting", "prompt": "x"})
    _, code = system.post("/v1/completions", body, token=other)
    assert code is errors.ResultCode.NOT_FOUND
    assert system.query("show routes", OPERATOR_TOKEN)["rows"] == [
        row
        for row in system.query("show routes", system.cluster.admin_token)[
            "rows"
        ]
        if row["workspace"] == "intake"
    ]
    assert system.query("show targets", OPERATOR_TOKEN)["rows"] == []
    names = [
        r["name"]
        for r in system.query("show workspaces", OPERATOR_TOKEN)["rows"]
    ]
    assert names == ["intake"]
    shown = str(system.query("show workspaces", system.cluster.admin_token))
    assert "tokens" not in shown


@pytest.mark.parametrize(
    ("text", "allowed"),
    [
        ("route drafting of intake { model = drafting priority = 0 }", True),
        ("delete route more of intake", True),
        ("route more of intake { service = drafting }", False),
        ("route records of other { service = records }", False),
        ("limit all of intake { rate = 1000 }", False),
        ("workspace intake { share = 100 }", False),
    ],
)
def test_workspace_operators_change_only_own_routes(system, text, allowed):
    answer, code = system.post("/operator/v1/plan", text, OPERATOR_TOKEN)
    assert (answer.status == 200) is allowed
    assert allowed or code is errors.ResultCode.FORBIDDEN


def test_caller_cannot_apply_changes(system):
    _, code = system.post("/operator/v1/apply", "workspace w { }")
    assert code is errors.ResultCode.FORBIDDEN


def test_rate_limit_error_has_retry_after(system):
    token = demo.demo_token("other")
    answers = [
        system.post("/services/records/find", "x", token) for _ in range(3)
    ]
    limited = [a for a, c in answers if c is errors.ResultCode.RATE_LIMITED]
    assert limited
    assert all(int(a.headers["Retry-After"]) >= 1 for a in limited)


def test_stream_ends_with_done_and_broken_stream_with_error(system):
    body = json.dumps({**CHAT, "stream": True})
    answer, _ = system.post("/v1/chat/completions", body)
    assert answer.data.endswith(b"data: [DONE]\n\n")
    engine = system.cluster.engines["drafting-1"]
    engine.faults.die_after_frames = 3
    try:
        answer, _ = system.post("/v1/chat/completions", body)
    finally:
        engine.faults.die_after_frames = -1
    assert b"event: error" in answer.data
    assert b"[DONE]" not in answer.data


def test_first_token_is_sent_before_the_last_is_ready(system):
    body = json.dumps({**CHAT, "stream": True})
    engine = system.cluster.engines["drafting-1"]
    engine.faults.stall_after_frames, engine.faults.stall_s = 1, 3600
    token = demo.demo_token("intake")
    try:
        answer = system.pool.request(
            "POST",
            system.url + "/v1/chat/completions",
            body=body,
            headers={"Authorization": f"Bearer {token}"},
            timeout=20,
            preload_content=False,
        )
        assert b"data: " in answer.read1(10)
        answer.close()
    finally:
        engine.faults.stall_after_frames = -1


def test_idempotency_key_replays_response_and_rejects_other_request(system):
    headers = {"Idempotency-Key": "key-1"}
    first, _ = system.post("/services/records/book", "a", headers=headers)
    again, _ = system.post("/services/records/book", "a", headers=headers)
    _, code = system.post("/services/records/book", "b", headers=headers)
    assert first.data == again.data
    assert code is errors.ResultCode.KEY_REUSED
    assert system.cluster.services["records-1"].keys["key-1"] == 1


def test_request_with_key_does_not_run_without_platform(system):
    faults = system.cluster.platform.faults
    faults.down = True
    try:
        answer, code = system.post(
            "/services/records/book", "a", headers={"Idempotency-Key": "k2"}
        )
    finally:
        faults.down = False
    assert code is errors.ResultCode.CLAIM_UNAVAILABLE
    assert answer.headers["Zinniadyke-Ran"] == "not run"
    assert system.cluster.services["records-1"].keys["k2"] == 0


def test_queries_return_current_state(system):
    admin = system.cluster.admin_token
    system.post("/v1/completions", json.dumps({**CHAT, "prompt": "x"}))
    rows = system.query('show latency where workspace = "intake"', admin)
    assert rows["rows"][0]["p99_ms"] > 0
    target = system.query("show targets where serving = 1", admin)["rows"][0]
    assert (target["name"], target["gate"]) == ("drafting-1", "serving")
    lines = system.query(
        "explain route for workspace intake model drafting", admin
    )["lines"]
    assert lines[-1].startswith("taken: drafting to service drafting")
    answer, code = system.post("/operator/v1/query", "show cats", admin)
    assert code is errors.ResultCode.INVALID
    assert "the kinds are" in json.loads(answer.data)["error"]["message"]


def test_request_log_has_all_fields_and_no_secret(system, caplog):
    with caplog.at_level(logging.INFO, logger="zinniadyke"):
        system.post("/v1/completions", json.dumps({**CHAT, "prompt": "x"}))
    record = next(r for r in caplog.records if r.message == "request")
    assert record.workspace == "intake"
    assert (record.version, record.target) == ("drafting/1", "drafting-1")
    assert (record.code, bool(record.request_id)) == (1000, True)
    assert "demo-only" not in caplog.text


def test_shutdown_withdraws_readiness_and_finishes_requests():
    system = System()
    entry = system.cluster.entries[0]
    system.cluster.services["records-1"].latency_s = 2.0
    slow = eventlet.spawn(system.post, "/services/records/book", "slow")
    eventlet.sleep(0.2)
    down = eventlet.spawn(entry.shut_down)
    eventlet.sleep(0.2)
    ready = system.pool.request("GET", system.url + "/readyz")
    assert ready.status == 503
    before_close, _ = system.post(
        "/v1/completions", json.dumps({**CHAT, "prompt": "x"})
    )
    assert before_close.status == 200
    answer, code = slow.wait()
    assert (answer.status, code) == (200, errors.ResultCode.OK)
    assert down.wait()
    system.cluster.stop()
