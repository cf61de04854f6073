"""Splits what is too large for one datagram."""

from collections.abc import Iterator

from zinniadyke.reports import _messages

# Leaves room in a datagram for the other fields of a message.
MAX_SPLIT_BYTES = 1200


def split_requests(
    requests: _messages.SuspectsByRequest,
) -> Iterator[_messages.SuspectsByRequest]:
    """Yield groups of requests that fit into one datagram each.

    A request is never split.
    """
    group: _messages.SuspectsByRequest = {}
    group_bytes = 0
    for request, suspects in sorted(requests.items()):
        size = len(request) + sum(len(s) + 2 for s in suspects)
        if group and group_bytes + size > MAX_SPLIT_BYTES:
            yield group
            group, group_bytes = {}, 0
        group[request] = suspects
        group_bytes += size
    if group:
        yield group
