"""A model engine as its profile describes it, in passes."""

import eventlet
from eventlet import queue
import msgspec

from zinniadyke import directory


class EngineGoneError(Exception):
    """The engine crashed; a running stream is cut."""


class Job(msgspec.Struct, kw_only=True, eq=False):
    """A request at an engine.

    Attributes
    ----------
    events
        Gets the number of tokens that are out after each pass, and None
        when the engine is gone.
    """

    prompt_left: int
    tokens_left: int
    events: queue.LightQueue
    tokens_out: int = 0


class SimulatedEngine:
    """Reads prompts and writes tokens for up to ``slots`` requests.

    Parameters
    ----------
    chunk
        Prompt tokens that one step reads at most.
    """

    def __init__(
        self, *, profile: directory.EngineProfile, chunk: int
    ) -> None:
        """Start with nothing to do."""
        self.profile = profile
        self.chunk = chunk
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.wake = directory.Signal()
        self.gone = False
        self.task = eventlet.spawn(self._run)

    def submit(self, prompt: int, tokens: int) -> Job:
        """Take a request; :attr:`Job.events` tells how it goes."""
        job = Job(
            prompt_left=prompt, tokens_left=tokens, events=queue.LightQueue()
        )
        if self.gone:
            job.events.put(None)
            return job
        self.waiting.append(job)
        self.wake.send()
        return job

    def cancel(self, job: Job) -> None:
        """Drop a request."""
        for jobs in (self.waiting, self.running):
            if job in jobs:
                jobs.remove(job)

    def crash(self) -> None:
        """End at once; all requests are cut."""
        self.gone = True
        self.task.kill()
        for job in [*self.waiting, *self.running]:
            job.events.put(None)
        self.waiting, self.running = [], []

    def _run(self) -> None:
        while True:
            free = self.profile.slots - len(self.running)
            self.running += self.waiting[:free]
            del self.waiting[:free]
            if not self.running:
                self.wake.wait(60.0)
                continue
            self._pass()

    def _pass(self) -> None:
        """Read prompts for a while, then write what is ready."""
        profile = self.profile
        writers = [j for j in self.running if not j.prompt_left]
        steps = profile.steps_per_pass if writers else 1
        room = self.chunk * steps
        read = 0
        for job in self.running:
            part = min(job.prompt_left, room - read)
            job.prompt_left -= part
            read += part
        step_s = profile.step_s + profile.step_per_request_s * len(writers)
        eventlet.sleep(steps * step_s + read / profile.prefill_tokens_per_s)
        for job in list(self.running):
            if job.prompt_left:
                continue
            made = min(steps, job.tokens_left) if job in writers else 1
            job.tokens_left -= made
            job.tokens_out += made
            job.events.put(job.tokens_out)
            if not job.tokens_left:
                self.running.remove(job)
