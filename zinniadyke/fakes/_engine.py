"""Stand-in of a model engine with an OpenAI-style API.

An answer is computed from the digest of the bytes that were loaded, so an
answer from partial, mixed or wrong weights differs from the right one.
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
    """Return the words that whole weights answer ``prompt`` with."""
    seed = hashlib.sha256(f"{content_digest}|{prompt}".encode()).hexdigest()
    return [seed[i * 8 : i * 8 + 8] for i in range(WORDS_PER_ANSWER)]


class FakeEngine:
    """Loads weights over HTTP and answers prompts.

    Parameters
    ----------
    address
        ``ip:port`` to listen on.
    checks_fencing
        Refuse orders with a number below the highest seen.
    seconds_per_word
        Pause between two words of a stream, in seconds.

    Attributes
    ----------
    pace_spread
        Part by which the pace of an answer differs from the mean, at most.
    """

    def __init__(
        self,
        *,
        address: str = "127.0.0.1:0",
        checks_fencing: bool = True,
        seconds_per_word: float = 0.002,
    ) -> None:
        """Start with no weights."""
        self.faults = _faults.EngineFaults()
        self.checks_fencing = checks_fencing
        self.seconds_per_word = seconds_per_word
        self.pace_spread = 0.0
        self.random = random.Random(0)
        self.highest_fence = 0
        self.loaded = ""
        self.digest = ""
        self.loads: list[str] = []
        self.fences: list[int] = []
        self.running = 0
        self.runs: collections.Counter = collections.Counter()
        self.cut_by_load = 0
        self.server = _http.HttpServer(application=self, address=address)
        self.url = self.server.url

    def stop(self) -> None:
        """Stop serving."""
        self.server.stop()

    def __call__(self, environ, start_response):
        """Serve one call."""
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
        """Return what is loaded and the present load."""
        stale = self.faults.reported_running
        return {
            "loaded": self.loaded,
            "digest": self.digest,
            "running": self.running if stale < 0 else stale,
        }

    def _load(self, name, environ, start_response):
        fence = int(environ.get("HTTP_FENCING_NUMBER", "0"))
        if self.checks_fencing and fence < self.highest_fence:
            return _http.answer(start_response, "409 Conflict")
        self.highest_fence = max(self.highest_fence, fence)
        self.fences.append(fence)
        self.cut_by_load += self.running
        self.loaded, self.digest = "", ""
        digest = self._receive(environ)
        eventlet.sleep(self.faults.load_s)
        if self.faults.fail_loads > 0:
            self.faults.fail_loads -= 1
            return _http.answer(start_response, "500 Load Failed")
        self.loaded, self.digest = name, digest
        self.loads.append(name)
        return _http.answer_json(start_response, self.state())

    def _receive(self, environ) -> str:
        left = int(environ["CONTENT_LENGTH"])
        keep = left
        if self.faults.truncate_loads > 0:
            self.faults.truncate_loads -= 1
            keep = left // 2
        digest = hashlib.sha256()
        while left > 0:
            part = environ["wsgi.input"].read(min(left, READ_BYTES))
            if not part:
                raise ConnectionResetError("the load was cut")
            tpool.execute(digest.update, part[: max(keep, 0)])
            left -= len(part)
            keep -= len(part)
        return digest.hexdigest()

    def _complete(self, environ, start_response):
        body = msgspec.json.decode(_http.read_body(environ))
        if not self.loaded:
            return _http.answer(start_response, "503 No Weights")
        request = environ.get("HTTP_X_REQUEST_ID", "")
        self.runs[request] += 1
        words = expected_words(self.digest, _prompt(body))
        if not body.get("stream"):
            return self._whole(words, body, request, start_response)
        start_response("200 OK", [("Content-Type", "text/event-stream")])
        return self._stream(words, body, request)

    def _whole(self, words, body, request, start_response):
        loaded = self.loaded
        self.running += 1
        try:
            eventlet.sleep(self._word_time_s() * len(words))
        finally:
            self.running -= 1
        message = {"role": "assistant", "content": " ".join(words)}
        choice = {"index": 0, "message": message, "finish_reason": "stop"}
        return _http.answer_json(
            start_response, _envelope(request, body, loaded, choice)
        )

    def _stream(self, words, body, request):
        loaded = self.loaded
        pause_s = self._word_time_s()
        self.running += 1
        try:
            for number, word in enumerate(words):
                self._fault_at(number)
                eventlet.sleep(pause_s)
                choice = {"index": 0, "delta": {"content": word + " "}}
                yield _event(_envelope(request, body, loaded, choice))
            yield b"data: [DONE]\n\n"
        finally:
            self.running -= 1

    def _word_time_s(self) -> float:
        spread = self.random.uniform(-self.pace_spread, self.pace_spread)
        return self.seconds_per_word * (1 + spread)

    def _fault_at(self, number: int) -> None:
        if number == self.faults.die_after_frames:
            _http.abort()
        if number == self.faults.stall_after_frames:
            eventlet.sleep(self.faults.stall_s)


def _prompt(body: dict) -> str:
    if "prompt" in body:
        return str(body["prompt"])
    return str(body["messages"][-1]["content"])


def _envelope(request: str, body: dict, loaded: str, choice: dict) -> dict:
    return {
        "id": request,
        "object": "chat.completion",
        "model": body.get("model", ""),
        "system_fingerprint": loaded,
        "choices": [choice],
    }


def _event(value: dict) -> bytes:
    return b"data: " + msgspec.json.encode(value) + b"\n\n"
