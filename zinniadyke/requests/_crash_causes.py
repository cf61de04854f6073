"""Finds the prompt parts that make targets crash; does no I/O.

Load: one part of a prompt crashes each target that begins to answer it, while
many sound requests wait at the same targets and share its other parts. A
crash names all of them, so a part counts only until a request with it is
served, and only for crashes that no part found before explains.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from zinniadyke import ids
from zinniadyke.requests import _crash

# Crashes within this time of the previous one count as one: when a rack loses
# power, all requests there are alike.
SAME_MOMENT_S = 0.05
# Crashes after which a part that was never served is refused, if no other has
# as many.
MIN_CRASHES = 3
# Crashes after which all parts with the most are refused, also those served.
MIN_CRASHES_OF_EQUALS = 5
# A single request that is repeated meets several crashes by itself.
MIN_REQUESTS = 2

Suspects = dict[ids.PromptPart, set[ids.RequestId]]


def find_causes(
    crashes: Iterable[_crash.Crash],
    last_served_at: Mapping[ids.PromptPart, float],
    known: Collection[ids.PromptPart],
    ever_served: Collection[ids.PromptPart],
    *,
    is_serving: bool = True,
) -> set[ids.PromptPart]:
    """Return the parts that must be the cause of crashes.

    Parameters
    ----------
    last_served_at
        Monotonic time at which a request with a part was last served.
    known
        Parts that were found to be the cause of earlier crashes; one more
        crash makes them the cause again.
    ever_served
        Parts with which a request was served at any time, which makes them
        a less likely cause.
    is_serving
        Whether any request was served since the first of the crashes. If
        not, parts could not be cleared, and more crashes are needed.
    """
    unexplained = [
        s for s in _suspects_by_moment(crashes, last_served_at) if s
    ]
    causes: set[ids.PromptPart] = set()
    while True:
        counts: collections.Counter[ids.PromptPart] = collections.Counter()
        for suspects in unexplained:
            counts.update(suspects.keys())
        found = counts.keys() & set(known)
        if not found:
            found = _most_frequent(
                counts, unexplained, ever_served, is_serving=is_serving
            )
        if not found:
            return causes
        causes |= found
        unexplained = [s for s in unexplained if not found & s.keys()]


def _suspects_by_moment(
    crashes: Iterable[_crash.Crash],
    last_served_at: Mapping[ids.PromptPart, float],
) -> list[Suspects]:
    """Return the requests of each suspected part for each moment."""
    moments: list[Suspects] = []
    last_at = float("-inf")
    for crash in sorted(crashes, key=lambda c: c.at):
        if crash.at - last_at > SAME_MOMENT_S:
            moments.append({})
        last_at = crash.at
        for request, parts in crash.suspects.items():
            for part in parts:
                if last_served_at.get(part, float("-inf")) < crash.at:
                    moments[-1].setdefault(part, set()).add(request)
    return moments


def _most_frequent(
    counts: collections.Counter[ids.PromptPart],
    unexplained: list[Suspects],
    ever_served: Collection[ids.PromptPart],
    *,
    is_serving: bool,
) -> set[ids.PromptPart]:
    """Return the parts with the most crashes, if these are enough.

    Parts that were served before the crashes come second and need more.
    """
    never_served = counts.keys() - set(ever_served)
    groups = [
        (never_served, MIN_CRASHES),
        (counts.keys() - never_served, MIN_CRASHES_OF_EQUALS),
    ]
    if not is_serving:
        # Before anything was served, all parts look alike.
        groups = [(never_served, MIN_CRASHES_OF_EQUALS)] if ever_served else []
    for parts, min_crashes in groups:
        most = max((counts[part] for part in parts), default=0)
        leading = {part for part in parts if counts[part] == most}
        if len(leading) > 1:
            min_crashes = MIN_CRASHES_OF_EQUALS if is_serving else float("inf")
        if most < min_crashes:
            continue
        found = {
            part
            for part in leading
            if len(set().union(*(s.get(part, ()) for s in unexplained)))
            >= MIN_REQUESTS
        }
        if found:
            return found
    return set()
