"""Splits what is too large for one datagram."""

from collections.abc import Iterator

from zinniadyke.reports import _messages

# Leaves room in a datagram for the other fields of a message.
MAX_SPLIT_BYTES = 1200


def split_requests(
    requests: _messages.PartsByRequest,
) -> Iterator[_messages.PartsByRequest]:
    """Yield groups of requests that fit into one datagram each.

    A request is never split.
    """
    group: _messages.PartsByRequest = {}
    group_bytes = 0
    for request, parts in sorted(requests.items()):
        size = len(request) + sum(len(part) + 2 for part in parts)
        if group and group_bytes + size > MAX_SPLIT_BYTES:
            yield group
            group, group_bytes = {}, 0
        group[request] = parts
        group_bytes += size
    if group:
        yield group
