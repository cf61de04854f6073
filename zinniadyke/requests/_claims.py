"""Claims on idempotency keys, held in the platform.

A claim is created before the request runs, by a write that only succeeds
if there is none. So of all requests with one key, at any entries, one runs.
"""

import enum
import hashlib
import time

import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform

CLAIM_PREFIX = "claim/"
WRITE_DEADLINE_S = 2.0
MAX_STORED_BODY_BYTES = 64 * 1024


class ClaimState(enum.Enum):
    """How far the request of a claim has come."""

    PENDING = "pending"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a claim.

    Attributes
    ----------
    body_digest
        Digest of the request, to tell another one with the same key.
    expires_at
        Wall-clock time in seconds after which a pending request's fate
        counts as unknown.
    """

    request_id: ids.RequestId
    body_digest: str
    state: ClaimState
    expires_at: float
    status: int = 0
    content_type: str = ""
    body: bytes = b""
    body_kept: bool = True


class ClaimStore:
    """Takes and settles claims.

    Parameters
    ----------
    client
        The platform.
    """

    def __init__(self, *, client: platform.PlatformClient) -> None:
        """Hold the client."""
        self.client = client

    def claim_or_replay(
        self, key: str, request_id: ids.RequestId, digest: str, ttl_s: float
    ) -> Claim | None:
        """Claim a key, or return the settled claim of an earlier request.

        Returns
        -------
        Claim or None
            None when the request may run now; else the claim, which is
            DONE, whose answer is to be given again.

        Raises
        ------
        RequestError
            The earlier request has not ended, or its fate is unknown, or
            it was another request.
        PlatformError
            The platform does not answer; the request must not run.
        """
        claim = Claim(
            request_id=request_id,
            body_digest=digest,
            state=ClaimState.PENDING,
            expires_at=time.time() + ttl_s,
        )
        for _ in range(3):
            stored = self.client.get(key, purpose=platform.Purpose.CLAIM)
            existing = _decode(stored)
            if (
                existing is not None
                and existing.state is not ClaimState.NOT_RUN
            ):
                return _check_existing(existing, digest)
            try:
                platform.write_settled(
                    self.client,
                    key,
                    msgspec.json.encode(claim),
                    purpose=platform.Purpose.CLAIM,
                    revision=stored.revision if stored else None,
                    deadline_s=WRITE_DEADLINE_S,
                )
                return None
            except errors.ConflictError:
                continue
            except errors.UnknownOutcomeError as error:
                raise errors.PlatformError(error.message)
        raise errors.RequestError(
            code=errors.ResultCode.KEY_IN_PROGRESS, retry_after_s=1.0
        )

    def record_outcome(
        self,
        key: str,
        request_id: ids.RequestId,
        state: ClaimState,
        *,
        status: int = 0,
        content_type: str = "",
        body: bytes = b"",
    ) -> None:
        """Store how the claimed request ended.

        Raises
        ------
        PlatformError
            Not stored; the claim stays pending and the key stays taken.
        """

        def set_outcome(value: bytes | None) -> bytes | None:
            if value is None:
                return None
            claim = msgspec.json.decode(value, type=Claim)
            if claim.request_id != request_id:
                return None
            body_fits = len(body) <= MAX_STORED_BODY_BYTES
            return msgspec.json.encode(
                msgspec.structs.replace(
                    claim,
                    state=state,
                    status=status,
                    content_type=content_type,
                    body=body if body_fits else b"",
                    body_kept=body_fits,
                )
            )

        platform.update(
            self.client, key, set_outcome, purpose=platform.Purpose.CLAIM
        )


def claim_key(workspace: str, service: str, key: str) -> str:
    """Return the platform key of a caller's idempotency key."""
    digest = hashlib.sha256(f"{service}\n{key}".encode()).hexdigest()[:32]
    return f"{CLAIM_PREFIX}{workspace}/{digest}"


def _check_existing(claim: Claim, digest: str) -> Claim:
    if claim.body_digest != digest:
        raise errors.RequestError(code=errors.ResultCode.KEY_REUSED)
    if claim.state is ClaimState.DONE and claim.body_kept:
        return claim
    pending = claim.state is ClaimState.PENDING
    if pending and time.time() < claim.expires_at:
        raise errors.RequestError(
            code=errors.ResultCode.KEY_IN_PROGRESS, retry_after_s=1.0
        )
    raise errors.RequestError(
        "an earlier request with this key may have run",
        code=errors.ResultCode.OUTCOME_UNKNOWN,
    )


def _decode(stored: platform.StoredObject | None) -> Claim | None:
    if stored is None:
        return None
    return msgspec.json.decode(stored.value, type=Claim)
