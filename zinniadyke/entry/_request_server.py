"""Serves validated requests: limits, claims and dispatch."""

import functools
import hashlib
import logging

from zinniadyke import control
from zinniadyke.entry import _caller_request
from zinniadyke.entry import _crash_guard
from zinniadyke.entry import _dispatch
from zinniadyke.entry import _read_request
from zinniadyke.entry import _target_pool
from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import objects
from zinniadyke import peers
from zinniadyke import platform
from zinniadyke import rendezvous
from zinniadyke import requests

LOG = logging.getLogger(__name__)

CLAIM_SLACK_S = 10.0
PLATFORM_RETRY_AFTER_S = 2.0
# An agent counts at once; without its answer an entry keeps its own part.
TOKEN_TIMEOUT_S = 0.3


class ServedResponse:
    """A response for the caller.

    Parameters
    ----------
    parts
        Iterable of the body parts. In a response from ``serve``, its end or
        its ``close`` frees the target's slot and ends the request's count
        against the workspace's limit.
    """

    def __init__(
        self,
        *,
        status: int,
        content_type: str,
        parts,
        version: str = "",
        target: str = "",
    ) -> None:
        """Store the response."""
        self.target = target
        self.status = status
        self.content_type = content_type
        self.version = version
        self.parts = parts


class RequestServer:
    """Applies limits and claims to requests and dispatches them."""

    def __init__(self, *, node: control.Node) -> None:
        """Start without pools; ``refresh`` creates them."""
        self.node = node
        self.pools: dict[str, _target_pool.TargetPool] = {}
        self.crash_guard = _crash_guard.CrashGuard()
        self.crash_guard.tell = self._tell_agents
        self.limiters: dict[str, requests.WorkspaceLimiter] = {}
        self.claims = requests.ClaimStore(client=node.client)

    def refresh(self) -> None:
        """Update the pools from the configuration and the host list."""
        declared = {
            key.name for key, _ in self.node.configuration.of_kind("service")
        }
        for name in [n for n in self.pools if n not in declared]:
            self.pools.pop(name).close()
        for name in declared:
            if name not in self.pools:
                self.pools[name] = _target_pool.TargetPool(
                    node=self.node,
                    service=name,
                    crash_guard=self.crash_guard,
                )
            self.pools[name].refresh()

    def _tell_agents(self, findings: peers.SuspectFindings) -> None:
        for pool in self.pools.values():
            pool.tell(findings)

    def serve(self, call: _caller_request.CallerRequest) -> ServedResponse:
        """Return the response to a request.

        Raises
        ------
        RequestError
            The final result, as soon as it is known.
        """
        limit = _read_request.workspace_limit(
            self.node.configuration, call.workspace
        )
        limiter = self.limiters.setdefault(
            call.workspace, requests.WorkspaceLimiter()
        )
        limiter.admit(
            limit,
            self.node.live_entries(),
            functools.partial(self._take_shared_token, call.workspace),
        )
        try:
            served = self._serve_with_claim(call)
        except BaseException:
            limiter.release()
            raise
        served.parts = _ReleasingParts(
            parts=served.parts, release=limiter.release
        )
        return served

    def _take_shared_token(
        self, workspace: ids.WorkspaceName, rate_per_s: float
    ) -> float | None:
        """Take a token of a workspace at the agent that counts them.

        All entries choose the same agent: the first one by a hash of names.
        Returns the time until there is a token, or None without an answer.
        """
        agents = [
            h
            for h in self.node.hosts(platform.HostRole.TARGET)
            if h.state is platform.HostState.LIVE
        ]
        if not agents:
            return None
        chosen = min(
            agents, key=lambda h: rendezvous.weight(workspace, h.name)
        )
        try:
            answer, _ = self.node.connect(chosen).send_and_receive(
                peers.TakeToken(workspace=workspace, rate_per_s=rate_per_s),
                TOKEN_TIMEOUT_S,
            )
        except errors.PeerTimeoutError:
            LOG.info(
                "limit not counted by an agent",
                extra={"workspace": workspace, "agent": chosen.name},
            )
            return None
        return answer.wait_s

    def _serve_with_claim(
        self, call: _caller_request.CallerRequest
    ) -> ServedResponse:
        if not call.key or call.idempotent:
            return self._dispatch(call)
        key = requests.claim_key(call.workspace, call.service, call.key)
        try:
            existing = self.claims.claim_or_replay(
                key,
                call.request_id,
                _digest(call),
                call.time_left_s() + CLAIM_SLACK_S,
            )
        except errors.PlatformError:
            return self._serve_without_claim(call)
        if existing is not None:
            return ServedResponse(
                status=existing.status,
                content_type=existing.content_type,
                parts=[existing.body],
            )
        return self._run_with_claim(call, key)

    def _serve_without_claim(
        self, call: _caller_request.CallerRequest
    ) -> ServedResponse:
        if call.declared.without_platform is objects.PlatformDownPolicy.SERVE:
            return self._dispatch(call)
        raise errors.RequestError(
            code=errors.ResultCode.CLAIM_UNAVAILABLE,
            retry_after_s=PLATFORM_RETRY_AFTER_S,
        )

    def _run_with_claim(
        self, call: _caller_request.CallerRequest, key: str
    ) -> ServedResponse:
        state = requests.ClaimState.UNKNOWN
        served = None
        body = b""
        try:
            served = self._dispatch(call)
            body = b"".join(served.parts)
            served.parts = [body]
            state = requests.ClaimState.DONE
            return served
        except errors.RequestError as error:
            if error.code.ran is errors.Ran.NOT_RUN:
                state = requests.ClaimState.NOT_RUN
            raise
        finally:
            self._record_outcome(call, key, state, served, body)

    def _record_outcome(self, call, key, state, served, body) -> None:
        try:
            self.claims.record_outcome(
                key,
                call.request_id,
                state,
                status=served.status if served else 0,
                content_type=served.content_type if served else "",
                body=body,
            )
        except errors.ZinniadykeError:
            # The claim stays pending, so no request with the key runs again.
            return

    def _dispatch(self, call: _caller_request.CallerRequest) -> ServedResponse:
        pool = self.pools.get(call.service)
        if pool is None:
            raise errors.RequestError(code=errors.ResultCode.NO_TARGET)
        response = _dispatch.dispatch(call, pool)
        return ServedResponse(
            status=response.status,
            content_type=response.content_type,
            version=response.version,
            target=response.target,
            parts=response.parts,
        )


class _ReleasingParts:
    """Iterates over body parts and calls ``release`` once at the end."""

    def __init__(self, *, parts, release) -> None:
        self.parts = parts
        self.release = release
        self.released = False

    def __iter__(self):
        try:
            yield from self.parts
        finally:
            self.close()

    def close(self) -> None:
        if self.released:
            return
        self.released = True
        if hasattr(self.parts, "close"):
            self.parts.close()
        self.release()


def _digest(call: _caller_request.CallerRequest) -> str:
    text = f"{call.method} {call.path}\n".encode()
    return hashlib.sha256(text + call.body).hexdigest()
