"""Model engine that is simulated in passes from its profile."""

import eventlet
from eventlet import queue
import msgspec

from zinniadyke.bench import _shared_host
from zinniadyke import directory


class EngineCrashedError(Exception):
    """The engine crashed and its streams were aborted."""


class Job(msgspec.Struct, kw_only=True, eq=False):
    """Request at an engine.

    Attributes
    ----------
    events
        Receives the number of generated tokens after each pass, and None
        when the engine has crashed.
    """

    prompt_tokens: int
    prompt_tokens_left: int
    answer_tokens_left: int
    events: queue.LightQueue
    tokens_out: int = 0


class SimulatedEngine:
    """Simulates prefill and decoding for up to ``slots`` requests.

    Parameters
    ----------
    prefill_chunk_tokens
        Maximum number of prompt tokens per step.
    host
        Host that it runs on; None for one of constant speed.
    """

    def __init__(
        self,
        *,
        profile: directory.EngineProfile,
        prefill_chunk_tokens: int,
        host: _shared_host.SharedHost | None = None,
    ) -> None:
        """Start an idle engine."""
        self.profile = profile
        self.prefill_chunk_tokens = prefill_chunk_tokens
        self.waiting: list[Job] = []
        self.running: list[Job] = []
        self.work_available = directory.Signal()
        self.is_crashed = False
        self.host = host
        self.work = eventlet.sleep if host is None else host.run
        self.task = eventlet.spawn(self._run)

    def submit(self, prompt_tokens: int, answer_tokens: int) -> Job:
        """Queue a request; its progress is sent to :attr:`Job.events`."""
        job = Job(
            prompt_tokens=prompt_tokens,
            prompt_tokens_left=prompt_tokens,
            answer_tokens_left=answer_tokens,
            events=queue.LightQueue(),
        )
        if self.is_crashed:
            job.events.put(None)
            return job
        self.waiting.append(job)
        self.work_available.send()
        return job

    def cancel(self, job: Job) -> None:
        """Remove a request."""
        for jobs in (self.waiting, self.running):
            if job in jobs:
                jobs.remove(job)

    def crash(self) -> None:
        """Stop at once and abort all requests."""
        self.is_crashed = True
        self.task.kill()
        for job in [*self.waiting, *self.running]:
            job.events.put(None)
        self.waiting, self.running = [], []

    def _run(self) -> None:
        while True:
            free_slots = self.profile.slots - len(self.running)
            self.running += self.waiting[:free_slots]
            del self.waiting[:free_slots]
            if not self.running:
                self.work_available.wait(60.0)
                continue
            self._run_pass()

    def _run_pass(self) -> None:
        """Prefill prompts within the budget, then emit tokens.

        A pass is ``steps_per_pass`` steps, or one step if no request is
        past its prompt.
        """
        profile = self.profile
        decoding = [j for j in self.running if not j.prompt_tokens_left]
        steps = profile.steps_per_pass if decoding else 1
        prefill_budget_tokens = self.prefill_chunk_tokens * steps
        prefilled_tokens = 0
        for job in self.running:
            prompt_part_tokens = min(
                job.prompt_tokens_left,
                prefill_budget_tokens - prefilled_tokens,
            )
            job.prompt_tokens_left -= prompt_part_tokens
            prefilled_tokens += prompt_part_tokens
        context_tokens = sum(j.prompt_tokens + j.tokens_out for j in decoding)
        step_s = (
            profile.step_s
            + profile.step_per_request_s * len(decoding)
            + profile.step_per_context_token_s * context_tokens
        )
        self.work(
            steps * step_s + prefilled_tokens / profile.prefill_tokens_per_s
        )
        for job in list(self.running):
            if job.prompt_tokens_left:
                continue
            new_tokens = (
                min(steps, job.answer_tokens_left) if job in decoding else 1
            )
            job.answer_tokens_left -= new_tokens
            job.tokens_out += new_tokens
            job.events.put(job.tokens_out)
            if not job.answer_tokens_left:
                self.running.remove(job)
