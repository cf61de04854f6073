"""Callers that check every response."""

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
MODEL_SHARE = 0.6
STREAM_SHARE = 0.5
IDEMPOTENT_SHARE = 0.5
MAX_RETRY_DELAY_S = 1.0
MAX_ATTEMPTS = 3


class Outcome(msgspec.Struct, frozen=True, kw_only=True):
    """Result of one call.

    Attributes
    ----------
    wrong
        Whether the response had a success status but unexpected content.
    code
        Number of the result code; 0 if none came.
    ran
        Value of the header ``Zinniadyke-Ran``.
    detail
        What failed or was wrong; empty if nothing.
    """

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
    """Open-loop callers of all workspaces: no call waits for another.

    Parameters
    ----------
    rate
        Calls per second, over all workspaces.

    Attributes
    ----------
    number
        Calls started so far; also the number of the latest call.
    """

    def __init__(
        self, *, cluster: _cluster.Cluster, rate: float, seed: int
    ) -> None:
        """Prepare the callers; ``start`` starts them."""
        self.cluster = cluster
        self.rate = rate
        self.random = random.Random(seed)
        self.outcomes: list[Outcome] = []
        self.histograms = requests.Histograms()
        self.http_pool = urllib3.PoolManager(maxsize=256, retries=False)
        self.call_pool = eventlet.GreenPool(1000)
        self.running = False
        self.caller_task: eventlet.greenthread.GreenThread | None = None
        self.number = 0

    def start(self) -> None:
        """Start calling."""
        self.running = True
        self.caller_task = eventlet.spawn(self._run)

    def stop(self) -> None:
        """Stop calling and wait for the calls in flight."""
        self.running = False
        self.caller_task.wait()
        self.call_pool.waitall()

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
            self.call_pool.spawn_n(
                self._call, call, self.number, workspace, request_class, entry
            )
            eventlet.sleep(self.random.expovariate(self.rate))

    def _pick_call(self):
        services = self.cluster.deployment.plain_services
        if not services or self.random.random() < MODEL_SHARE:
            stream = self.random.random() < STREAM_SHARE
            return lambda *args: self._call_model(stream, *args)
        spec = self.random.choice(services)
        idempotent = self.random.random() < IDEMPOTENT_SHARE
        return lambda *args: self._call_service(spec, idempotent, *args)

    def _call(self, call, number, workspace, request_class, entry) -> None:
        started_at = time.monotonic()
        headers = {
            "Authorization": f"Bearer {_cluster.demo_token(workspace)}",
            "Zinniadyke-Class": request_class,
            "Content-Type": "application/json",
        }
        response, error = self._call_with_retries(call, number, headers, entry)
        latency_s = time.monotonic() - started_at
        self.histograms.record(workspace, request_class, latency_s)
        received_headers = response.headers if response is not None else {}
        self.outcomes.append(
            Outcome(
                workspace=workspace,
                request_class=request_class,
                ok=not error,
                wrong=error.startswith("wrong"),
                code=int(received_headers.get("Zinniadyke-Code", 0)),
                ran=received_headers.get("Zinniadyke-Ran", ""),
                latency_s=latency_s,
                request_id=received_headers.get("Zinniadyke-Request-Id", ""),
                detail=error,
            )
        )

    def _call_with_retries(self, call, number, headers, entry):
        """Call; retry if it did not run and Retry-After is set."""
        for _ in range(MAX_ATTEMPTS):
            try:
                response, error = call(number, headers, entry)
            except urllib3.exceptions.HTTPError as failure:
                return None, f"failed: {failure}"
            retry = response.headers.get("Retry-After")
            if (
                not error
                or response.headers.get("Zinniadyke-Ran") != "not run"
            ):
                break
            if retry is None:
                break
            eventlet.sleep(min(float(retry), MAX_RETRY_DELAY_S))
        return response, error

    def _send(self, method, url, headers, body):
        return self.http_pool.request(
            method,
            url,
            headers=headers,
            body=body,
            timeout=CALLER_TIMEOUT_S,
        )

    def _call_model(self, stream, number, headers, entry):
        prompt = f"prompt {number}"
        body = {
            "model": self.cluster.deployment.model,
            "stream": stream,
            "messages": [{"role": "user", "content": prompt}],
        }
        response = self._send(
            "POST",
            entry.url + "/v1/chat/completions",
            headers,
            msgspec.json.encode(body),
        )
        if response.status != 200:
            return response, f"failed: {response.data[:300].decode()}"
        version = response.headers["Zinniadyke-Version"].partition("/")[2]
        release = self.cluster.releases[version]
        words = fakes.expected_words(release.content, prompt)
        return response, check_completion(response.data, stream, words)

    def _call_service(self, spec, idempotent, number, headers, entry):
        path = spec.idempotent_path if idempotent else spec.non_idempotent_path
        text = f"call {number}"
        if not idempotent:
            headers = {**headers, "Idempotency-Key": f"key-{number}"}
        response = self._send(
            "POST",
            f"{entry.url}/services/{spec.name}{path}",
            headers,
            text.encode(),
        )
        if response.status != 200:
            return response, f"failed: {response.data[:300].decode()}"
        found = msgspec.json.decode(response.data)
        if (found["body"], found["path"]) != (text, path):
            return response, f"wrong: {found}"
        return response, ""

    def excess_executions(self) -> list[str]:
        """Return the idempotency keys and request ids that ran too often.

        A key may run once, a request that was reported "not run" never.
        """
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
    """Check the body of a completion.

    Returns
    -------
    str
        What failed or was wrong; empty if nothing.
    """
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
    """Return the number of failed calls per result code."""
    found: collections.Counter = collections.Counter()
    for outcome in outcomes:
        if not outcome.ok:
            code = errors.ResultCode.from_number(outcome.code)
            found[f"{code.number} {code.name}"] += 1
    return dict(found)
