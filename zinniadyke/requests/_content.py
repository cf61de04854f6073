"""Identifies what a request asks for, whichever entry and id it comes with."""

import hashlib

from zinniadyke import ids

# Prompt parts with this prefix, whose models callers name, have a slash.
CONTENT_PREFIX = "content:"
DIGEST_BYTES = 12
LENGTH_BYTES = 8


def digest_content(*fields: bytes) -> ids.RequestContent:
    """Return the digest of the fields that make requests equal."""
    digest = hashlib.blake2b(digest_size=DIGEST_BYTES)
    for field in fields:
        digest.update(len(field).to_bytes(LENGTH_BYTES, "big"))
        digest.update(field)
    return ids.RequestContent(CONTENT_PREFIX + digest.hexdigest())


def is_content(suspect: ids.Suspect) -> bool:
    """Whether a suspect is the content of a request, not a prompt part."""
    return suspect.startswith(CONTENT_PREFIX) and "/" not in suspect
