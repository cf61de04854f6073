"""Reads which parts of a prompt other requests may share."""

from zinniadyke import ids
from zinniadyke import rendezvous

# Further parts are ignored, so that a request's parts fit into a datagram.
MAX_PARTS = 24
# Longer names are replaced by a digest.
MAX_NAME_CHARS = 64


def shared_prompt_parts(text: str, model: str) -> frozenset[ids.PromptPart]:
    """Return the parts of a prompt, without the request's own last one.

    Parameters
    ----------
    text
        Header with ``HASH:TOKENS`` for each part in order, separated by
        commas; empty if the request has none.
    """
    hashes = [entry.partition(":")[0].strip() for entry in text.split(",")]
    return frozenset(
        _part(f"{model}/{name.lower()}")
        for name in hashes[:-1][:MAX_PARTS]
        if name
    )


def _part(name: str) -> ids.PromptPart:
    if len(name) > MAX_NAME_CHARS:
        name = rendezvous.weight(name).hex()
    return ids.PromptPart(name)
