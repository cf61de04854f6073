"""Bearer tokens and their salted hashes.

A token has the form ``zd.WORKSPACE.SECRET``. The secret has 256 random
bits, so one round of a salted hash is enough to protect the stored form.
"""

import hashlib
import hmac
import secrets

TOKEN_PREFIX = "zd"
SECRET_BYTES = 32
SALT_BYTES = 8


def new_token(workspace: str) -> str:
    """Return a new token for a workspace."""
    return f"{TOKEN_PREFIX}.{workspace}.{secrets.token_urlsafe(SECRET_BYTES)}"


def hash_token(token: str, salt: str = "") -> str:
    """Return ``salt:digest``, the form stored in declarations."""
    salt = salt or secrets.token_hex(SALT_BYTES)
    digest = hashlib.sha256(f"{salt}:{token}".encode()).hexdigest()
    return f"{salt}:{digest}"


def token_matches(token: str, hashes: list[str]) -> bool:
    """Return whether a token matches any of the stored hashes."""
    matched = False
    for stored in hashes:
        salt = stored.partition(":")[0]
        matched |= hmac.compare_digest(hash_token(token, salt), stored)
    return matched


def token_workspace(token: str) -> str:
    """Return the workspace in a token; empty if it is malformed."""
    parts = token.split(".")
    if len(parts) != 3 or parts[0] != TOKEN_PREFIX:
        return ""
    return parts[1]
