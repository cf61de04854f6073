"""Claims on idempotency keys, stored in the platform.

The entry creates a claim before the request runs, by a conditional write
that succeeds only if no claim exists. Of all requests with the same key, at
any entry, only one runs.
"""

import collections
import enum
import hashlib
import logging
import time

import eventlet
import msgspec

from zinniadyke import errors
from zinniadyke import ids
from zinniadyke import platform

LOG = logging.getLogger(__name__)

CLAIM_PREFIX = "claim/"
WRITE_DEADLINE_S = 2.0
MAX_STORED_BODY_BYTES = 64 * 1024
# A store is restored from a copy that is some seconds old.
RECENT_CLAIM_S = 60.0
MAX_RECENT_CLAIMS = 2048
# Larger bodies are not written again after a restoration.
MAX_RECENT_BODY_BYTES = 4096
# After a restoration no key is claimed for this long, until every entry has
# written its recent claims again.
RESTORE_GRACE_S = 3.0
RESTORE_RETRY_S = 0.2


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

    Attributes
    ----------
    recent
        Claims of this process, latest last, with the monotonic time of their
        last write. After a restoration of the store they are written again.
    """

    def __init__(self, *, client: platform.PlatformClient) -> None:
        """Store the client and watch for restorations of the store."""
        self.client = client
        self.recent: collections.OrderedDict[str, tuple[Claim, float]] = (
            collections.OrderedDict()
        )
        self.restored_at = float("-inf")
        client.store.on_restored.append(self._on_restored)

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
            The platform does not respond, or was restored a moment ago; the
            request must not run.
        """
        claim = Claim(
            request_id=request_id,
            body_digest=digest,
            state=ClaimState.PENDING,
            expires_at=time.time() + ttl_s,
        )
        for _ in range(3):
            stored = self.client.get(key, purpose=platform.Purpose.CLAIM)
            if time.monotonic() < self.restored_at + RESTORE_GRACE_S:
                raise errors.PlatformError(
                    "the store was restored; entries write their claims again"
                )
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
                self._remember(key, claim)
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
                # The store was restored from a copy without the claim.
                claim = self.recent.get(key, (None, 0.0))[0]
            else:
                claim = msgspec.json.decode(value, type=Claim)
            if claim is None or claim.request_id != request_id:
                return None
            body_fits = len(body) <= MAX_STORED_BODY_BYTES
            ended = msgspec.structs.replace(
                claim,
                state=state,
                status=status,
                content_type=content_type,
                body=body if body_fits else b"",
                body_kept=body_fits,
            )
            self._remember(key, ended)
            return msgspec.json.encode(ended)

        platform.update(
            self.client, key, set_outcome, purpose=platform.Purpose.CLAIM
        )

    def _remember(self, key: str, claim: Claim) -> None:
        if len(claim.body) > MAX_RECENT_BODY_BYTES:
            claim = msgspec.structs.replace(claim, body=b"", body_kept=False)
        now = time.monotonic()
        self.recent.pop(key, None)
        self.recent[key] = (claim, now)
        while len(self.recent) > MAX_RECENT_CLAIMS or (
            next(iter(self.recent.values()))[1] < now - RECENT_CLAIM_S
        ):
            self.recent.popitem(last=False)

    def _on_restored(self, era_before: int, era: int) -> None:
        self.restored_at = time.monotonic()
        eventlet.spawn_n(self._write_again, era)

    def _write_again(self, era: int) -> None:
        """Write the recent claims that the restored store lacks."""
        written = 0
        for key in list(self.recent):
            while self.client.era == era and key in self.recent:
                try:
                    written += self._restore_claim(key)
                    break
                except errors.ZinniadykeError as error:
                    LOG.warning(
                        "claim not written again yet",
                        extra={"reason": error.message},
                    )
                    eventlet.sleep(RESTORE_RETRY_S)
        LOG.info(
            "claims written again",
            extra={"era": era, "claims": written, "known": len(self.recent)},
        )

    def _restore_claim(self, key: str) -> bool:
        """Write one recent claim again; return whether the store lacked it."""
        lacked = False

        def restore(value: bytes | None) -> bytes | None:
            nonlocal lacked
            if key not in self.recent:
                # Too old by now.
                return None
            claim = self.recent[key][0]
            found = None
            if value is not None:
                found = msgspec.json.decode(value, type=Claim)
            if found == claim:
                return None
            if found is not None and found.request_id != claim.request_id:
                if found.state is not ClaimState.NOT_RUN:
                    LOG.error(
                        "key claimed again after the store was restored",
                        extra={
                            "request_id": claim.request_id,
                            "other_request_id": found.request_id,
                        },
                    )
                    return None
            lacked = True
            return msgspec.json.encode(claim)

        platform.update(
            self.client, key, restore, purpose=platform.Purpose.CLAIM
        )
        return lacked


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
