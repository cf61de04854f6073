"""Fake model engine with an OpenAI-style API.

The engine computes each answer from the digest of the loaded bytes, so an
answer from partial, mixed or wrong weights differs from the expected one.
"""

import collections
import hashlib
import random

import eventlet
from eventlet import tpool
import msgspec

from zinniadyke.fakes import _faults
from zinniadyke.fakes import _http

READ_BYTES = 1 << 20
WORDS_PER_ANSWER = 8


def expected_words(content_digest: str, prompt: str) -> list[str]:
    """Return the answer to ``prompt`` from correctly loaded weights."""
    seed = hashlib.sha256(f"{content_digest}|{prompt}".encode()).hexdigest()
    return [seed[i * 8 : i * 8 + 8] for i in range(WORDS_PER_ANSWER)]


class FakeEngine:
    """Loads weights over HTTP and answers prompts.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    checks_fencing
        Whether to refuse loads with a fencing number below the highest seen.
    seconds_per_word
        Mean time to produce one word, in seconds.

    Attributes
    ----------
    word_time_jitter
        Largest relative deviation from ``seconds_per_word`` per answer.
    loads
        Names of the weights that were loaded, in order.
    fencing_numbers
        Fencing numbers of the accepted loads, in order.
    runs
        Number of runs by request id.
    interrupted_by_load
        Number of requests that were running when a load started.
    crashes
        Number of crashes.
    """

    def __init__(
        self,
        *,
        address: str = "127.0.0.1:0",
        checks_fencing: bool = True,
        seconds_per_word: float = 0.002,
    ) -> None:
        """Start without weights."""
        self.faults = _faults.EngineFaults()
        self.checks_fencing = checks_fencing
        self.seconds_per_word = seconds_per_word
        self.word_time_jitter = 0.0
        self.random = random.Random(0)
        self.highest_fencing_number = 0
        self.loaded = ""
        self.digest = ""
        self.loads: list[str] = []
        self.fencing_numbers: list[int] = []
        self.running = 0
        self.runs: collections.Counter = collections.Counter()
        self.interrupted_by_load = 0
        self.crashes = 0
        self.server = _http.HttpServer(application=self, address=address)
        self.url = self.server.url

    def stop(self) -> None:
        """Stop the server."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one request."""
        if self.faults.latency_s:
            eventlet.sleep(self.faults.latency_s)
        if self.faults.down:
            return _http.answer(start_response, "503 Service Unavailable")
        path = environ["PATH_INFO"]
        if path == "/v1/state":
            return _http.answer_json(start_response, self.state())
        if path.startswith("/v1/weights/"):
            name = path.removeprefix("/v1/weights/")
            return self._load(name, environ, start_response)
        if path in ("/v1/chat/completions", "/v1/completions"):
            return self._complete(environ, start_response)
        return _http.answer(start_response, "404 Not Found")

    def state(self) -> dict:
        """Return the loaded weights and the number of running requests."""
        override = self.faults.reported_running
        return {
            "loaded": self.loaded,
            "digest": self.digest,
            "running": self.running if override < 0 else override,
        }

    def _load(self, name, environ, start_response):
        fencing_number = int(environ.get("HTTP_FENCING_NUMBER", "0"))
        if (
            self.checks_fencing
            and fencing_number < self.highest_fencing_number
        ):
            return _http.answer(start_response, "409 Conflict")
        self.highest_fencing_number = max(
            self.highest_fencing_number, fencing_number
        )
        self.fencing_numbers.append(fencing_number)
        self.interrupted_by_load += self.running
        self.loaded, self.digest = "", ""
        digest = self._receive_weights(environ)
        eventlet.sleep(self.faults.load_s)
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            return _http.answer(start_response, "500 Load Failed")
        self.loaded, self.digest = name, digest
        self.loads.append(name)
        return _http.answer_json(start_response, self.state())

    def _receive_weights(self, environ) -> str:
        unread_bytes = int(environ["CONTENT_LENGTH"])
        kept_bytes = unread_bytes
        if self.faults.truncate_loads > 0:
            self.faults.truncate_loads -= 1
            kept_bytes = unread_bytes // 2
        digest = hashlib.sha256()
        while unread_bytes > 0:
            part = environ["wsgi.input"].read(min(unread_bytes, READ_BYTES))
            if not part:
                raise ConnectionResetError(
                    "connection closed before all weights were received"
                )
            tpool.execute(digest.update, part[: max(kept_bytes, 0)])
            unread_bytes -= len(part)
            kept_bytes -= len(part)
        return digest.hexdigest()

    def _complete(self, environ, start_response):
        body = msgspec.json.decode(_http.read_body(environ))
        if not self.loaded:
            return _http.answer(start_response, "503 No Weights")
        request_id = environ.get("HTTP_X_REQUEST_ID", "")
        self.runs[request_id] += 1
        words = expected_words(self.digest, _prompt(body))
        if not body.get("stream"):
            return self._send_completion(
                words, body, request_id, start_response
            )
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream_completion(words, body, request_id)

    def _send_completion(self, words, body, request_id, start_response):
        loaded = self.loaded
        crashes = self.crashes
        self.running += 1
        try:
            eventlet.sleep(self._word_time_s() * len(words))
            self._apply_crash(body, crashes)
        finally:
            self.running -= 1
        message = {"role": "assistant", "content": " ".join(words)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return _http.answer_json(
            start_response, _completion_body(request_id, body, loaded, choice)
        )

    def _stream_completion(self, words, body, request_id):
        loaded = self.loaded
        pause_s = self._word_time_s()
        crashes = self.crashes
        self.running += 1
        try:
            for number, word in enumerate(words):
                self._apply_stream_fault(number)
                eventlet.sleep(pause_s)
                self._apply_crash(body, crashes)
                choice = {"index": 0, "delta": {"content": word + " "}}
                yield _event(
                    _completion_body(request_id, body, loaded, choice)
                )
            yield b"data: [DONE]\n\n"
        finally:
            self.running -= 1

    def _word_time_s(self) -> float:
        spread = self.random.uniform(
            -self.word_time_jitter, self.word_time_jitter
        )
        return self.seconds_per_word * (1 + spread)

    def _apply_crash(self, body: dict, crashes: int) -> None:
        """Crash on a set prompt, or end with the engine that crashed."""
        text = self.faults.crash_on
        if text and text in str(body) and not self.faults.down:
            self.crashes += 1
            self.faults.down = True
            eventlet.spawn_after(self.faults.crash_s, self._restart)
        # A request that was being read as the engine crashed ends too.
        if self.crashes != crashes or (text and self.faults.down):
            _http.abort_connection()

    def _restart(self) -> None:
        self.faults.down = False

    def _apply_stream_fault(self, number: int) -> None:
        if number == self.faults.die_after_frames:
            _http.abort_connection()
        if number == self.faults.stall_after_frames:
            eventlet.sleep(self.faults.stall_s)


def _prompt(body: dict) -> str:
    if "prompt" in body:
        return str(body["prompt"])
    return str(body["messages"][-1]["content"])


def _completion_body(
    request_id: str, body: dict, loaded: str, choice: dict
) -> dict:
    return {
        "id": request_id,
        "object": "chat.completion",
        "model": body.get("model", ""),
        "system_fingerprint": loaded,
        "choices": [choice],
    }


def _event(value: dict) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
