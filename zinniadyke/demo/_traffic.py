"""Callers that check every answer they get."""

import collections
import random
import time

import eventlet
import msgspec
import urllib3

from zinniadyke.demo import _cluster
from zinniadyke import errors
from zinniadyke import fakes
from zinniadyke import requests

CALLER_TIMEOUT_S = 30.0
MODEL_PART = 0.6
STREAM_PART = 0.5
SAFE_PART = 0.5
RETRY_LIMIT_S = 1.0
RETRIES = 3


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """How one call ended for its caller."""

    workspace: str
    request_class: str
    ok: bool
    wrong: bool
    code: int
    ran: str
    latency_s: float
    request_id: str = ""
    detail: str = ""


class Traffic:
    """Open-loop callers of all workspaces.

    Parameters
    ----------
    rate
        Calls a second, over all workspaces.
    """

    def __init__(
        self, *, cluster: _cluster.Cluster, rate: float, seed: int
    ) -> None:
        """Prepare; ``start`` begins to call."""
        self.cluster = cluster
        self.rate = rate
        self.random = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self.histograms = requests.Histograms()
        self.pool = urllib3.PoolManager(maxsize=256, retries=False)
        self.tasks = eventlet.GreenPool(1000)
        self.running = False
        self.loop: eventlet.greenthread.GreenThread | None = None
        self.number = 0

    def start(self) -> None:
        """Begin to call."""
        self.running = True
        self.loop = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop calling and wait for the calls in progress."""
        self.running = False
        self.loop.wait()
        self.tasks.waitall()

    def _run(self) -> None:
        configuration = self.cluster.entries[0].node.configuration
        found = [
            (k.name, w.share) for k, w in configuration.of_kind("workspace")
        ]
        names, shares = zip(*found, strict=True)
        while self.running:
            workspace = self.random.choices(names, shares)[0]
            request_class = self.random.choice(self.cluster.deployment.classes)
            entry = self.random.choice(self.cluster.entries)
            self.number += 1
            call = self._pick_call()
            self.tasks.spawn_n(
                self._call, call, self.number, workspace, request_class, entry
            )
            eventlet.sleep(self.random.expovariate(self.rate))

    def _pick_call(self):
        services = self.cluster.deployment.plain_services
        if not services or self.random.random() < MODEL_PART:
            stream = self.random.random() < STREAM_PART
            return lambda *args: self._complete(stream, *args)
        spec = self.random.choice(services)
        safe = self.random.random() < SAFE_PART
        return lambda *args: self._call_service(spec, safe, *args)

    def _call(self, call, number, workspace, request_class, entry) -> None:
        begun = time.monotonic()
        headers = {
            "Authorization": f"Bearer {_cluster.demo_token(workspace)}",
            "Zinniadyke-Class": request_class,
            "Content-Type": "application/json",
        }
        answer, error = self._attempts(call, number, headers, entry)
        latency_s = time.monotonic() - begun
        self.histograms.record(workspace, request_class, latency_s)
        sent = answer.headers if answer is not None else {}
        self.outcomes.append(
            Outcome(
                workspace=workspace,
                request_class=request_class,
                ok=not error,
                wrong=error.startswith("wrong"),
                code=int(sent.get("Zinniadyke-Code", 0)),
                ran=sent.get("Zinniadyke-Ran", ""),
                latency_s=latency_s,
                request_id=sent.get("Zinniadyke-Request-Id", ""),
                detail=error,
            )
        )

    def _attempts(self, call, number, headers, entry):
        """Call, and again when told that it did not run and when to."""
        for _ in range(RETRIES):
            try:
                answer, error = call(number, headers, entry)
            except urllib3.exceptions.HTTPError as failure:
                return None, f"failed: {failure}"
            retry = answer.headers.get("Retry-After")
            if not error or answer.headers.get("Zinniadyke-Ran") != "not run":
                break
            if retry is None:
                break
            eventlet.sleep(min(float(retry), RETRY_LIMIT_S))
        return answer, error

    def _send(self, method, url, headers, body):
        return self.pool.request(
            method,
            url,
            headers=headers,
            body=body,
            timeout=CALLER_TIMEOUT_S,
        )

    def _complete(self, stream, number, headers, entry):
        prompt = f"prompt {number}"
        body = {
            "model": self.cluster.deployment.model,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        }
        answer = self._send(
            "POST",
            entry.url + "/v1/chat/completions",
            headers,
            msgspec.json.encode(body),
        )
        if answer.status != 200:
            return answer, f"failed: {answer.data[:300].decode()}"
        version = answer.headers["Zinniadyke-Version"].partition("/")[2]
        release = self.cluster.releases[version]
        words = fakes.expected_words(release.content, prompt)
        return answer, check_completion(answer.data, stream, words)

    def _call_service(self, spec, safe, number, headers, entry):
        path = spec.safe_path if safe else spec.unsafe_path
        text = f"call {number}"
        if not safe:
            headers = {**headers, "Idempotency-Key": f"key-{number}"}
        answer = self._send(
            "POST",
            f"{entry.url}/services/{spec.name}{path}",
            headers,
            text.encode(),
        )
        if answer.status != 200:
            return answer, f"failed: {answer.data[:300].decode()}"
        found = msgspec.json.decode(answer.data)
        if (found["body"], found["path"]) != (text, path):
            return answer, f"wrong: {found}"
        return answer, ""

    def runs_too_often(self) -> list[str]:
        """Return the keys and ids that ran more often than they may."""
        keys: collections.Counter = collections.Counter()
        runs: collections.Counter = collections.Counter()
        for service in self.cluster.services.values():
            keys.update(service.keys)
            runs.update(service.runs)
        not_run = {o.request_id for o in self.outcomes if o.ran == "not run"}
        return [k for k, n in keys.items() if n > 1] + [
            r for r in not_run if r and runs[r]
        ]


def check_completion(data: bytes, stream: bool, words: list[str]) -> str:
    """Return what is wrong with a completion's body; empty if nothing."""
    if not stream:
        content = msgspec.json.decode(data)["choices"][0]["message"]["content"]
        return "" if content.split() == words else f"wrong: {content}"
    events = [e for e in data.decode().split("\n\n") if e]
    if not events or events[-1] != "data: [DONE]":
        return f"failed: cut stream, {events[-1:] or 'empty'}"
    found = []
    for event in events[:-1]:
        value = msgspec.json.decode(event.removeprefix("data: "))
        found.append(value["choices"][0]["delta"]["content"].strip())
    return "" if found == words else f"wrong: {found}"


def count_codes(outcomes: list[Outcome]) -> dict[str, int]:
    """Return how often each failing result code came."""
    found: collections.Counter = collections.Counter()
    for outcome in outcomes:
        if not outcome.ok:
            code = errors.ResultCode.from_number(outcome.code)
            found[f"{code.number} {code.name}"] += 1
    return dict(found)
