"""Claims on idempotency keys, stored in the platform.

The entry creates a claim before the request runs, by a conditional write
that succeeds only if no claim exists. Of all requests with the same key, at
any entry, only one runs.
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
    """State of the request that holds a claim."""

    PENDING = "pending"
    DONE = "done"
    NOT_RUN = "not run"
    UNKNOWN = "unknown"


class Claim(msgspec.Struct, frozen=True, kw_only=True):
    """Stored form of a claim.

    Attributes
    ----------
    body_digest
        Digest of the request; detects reuse of the key by another request.
    expires_at
        Wall-clock time in seconds after which the outcome of a pending
        request counts as unknown.
    body_kept
        Whether the response body was small enough to be stored.
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
    """Creates claims and records their outcomes.

    Parameters
    ----------
    client
        Client of the platform.
    """

    def __init__(self, *, client: platform.PlatformClient) -> None:
        """Store the client."""
        self.client = client

    def claim_or_replay(
        self, key: str, request_id: ids.RequestId, digest: str, ttl_s: float
    ) -> Claim | None:
        """Claim a key, or return the finished claim of an earlier request.

        Returns
        -------
        Claim or None
            None if the request may run now; otherwise the claim in state
            DONE, whose stored response the caller gets again.

        Raises
        ------
        RequestError
            KEY_IN_PROGRESS: the earlier request has not ended.
            OUTCOME_UNKNOWN: its outcome or response body is not known.
            KEY_REUSED: the key belongs to another request.
        PlatformError
            The platform does not respond; the request must not run.
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
                platform.compare_and_swap(
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
        """Store the outcome of the claimed request.

        Raises
        ------
        PlatformError
            Not stored; the claim stays pending and the key stays claimed.
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
    """Return the platform key for a caller's idempotency key."""
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
