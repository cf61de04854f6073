"""Finds the requests and prompt parts that make targets crash; does no I/O.

Load: one request, or one part of a prompt, crashes each target that begins to
answer it, while many sound requests wait at the same targets and share parts
of its prompt. A crash names all of them, so a suspect counts only until a
request with it is served, and only for crashes that no cause found before
explains.
"""

import collections
from collections.abc import Collection
from collections.abc import Iterable
from collections.abc import Mapping

from zinniadyke import ids
from zinniadyke.requests import _content
from zinniadyke.requests import _crash

# Crashes within this time of the previous one count as one: when a rack loses
# power, all requests there are alike.
SAME_MOMENT_S = 0.05
# Crashes after which a suspect that was never served is refused, if no other
# has as many.
MIN_CRASHES = 3
# Crashes after which all suspects with the most are refused, also those
# served.
MIN_CRASHES_OF_EQUALS = 5
# A single request that is repeated meets several crashes by itself.
MIN_ORIGINS = 2

# How many crashes of one moment each origin of a suspect met. Origins of a
# content are requests, and those of a prompt part are contents.
Origins = collections.Counter[str]
Suspects = dict[ids.Suspect, Origins]


def find_causes(
    crashes: Iterable[_crash.Crash],
    last_served_at: Mapping[ids.Suspect, float],
    known: Collection[ids.Suspect],
    ever_served: Collection[ids.Suspect],
    *,
    is_serving: bool = True,
) -> set[ids.Suspect]:
    """Return the suspects that must be the cause of crashes.

    Parameters
    ----------
    last_served_at
        Monotonic time at which a request with a suspect was last served.
    known
        Suspects that were found to be the cause of earlier crashes; one more
        crash makes them the cause again.
    ever_served
        Suspects with which a request was served at any time, which makes
        them a less likely cause.
    is_serving
        Whether any request was served since the first of the crashes. If
        not, suspects could not be cleared, and more crashes are needed.
    """
    unexplained = [
        s for s in _suspects_by_moment(crashes, last_served_at) if s
    ]
    causes: set[ids.Suspect] = set()
    while True:
        counts: collections.Counter[ids.Suspect] = collections.Counter()
        for suspects in unexplained:
            for suspect, origins in suspects.items():
                counts[suspect] += _count_crashes(suspect, origins)
        found = counts.keys() & set(known)
        if not found:
            found = _most_frequent(
                counts, unexplained, ever_served, is_serving=is_serving
            )
        if not found:
            return causes
        causes |= found
        unexplained = [
            rest for s in unexplained if (rest := _not_explained(s, found))
        ]


def _suspects_by_moment(
    crashes: Iterable[_crash.Crash],
    last_served_at: Mapping[ids.Suspect, float],
) -> list[Suspects]:
    """Return the suspects of each moment with their origins."""
    moments: list[Suspects] = []
    last_at = float("-inf")
    for crash in sorted(crashes, key=lambda c: c.at):
        if crash.at - last_at > SAME_MOMENT_S:
            moments.append({})
        last_at = crash.at
        for request, suspects in crash.suspects.items():
            content = next(filter(_content.is_content, suspects), None)
            for suspect in suspects:
                if last_served_at.get(suspect, float("-inf")) < crash.at:
                    origin = request if suspect == content else content
                    moments[-1].setdefault(suspect, collections.Counter())[
                        origin or request
                    ] += 1
    return moments


def _count_crashes(suspect: ids.Suspect, origins: Origins) -> int:
    """Return how many crashes of one moment count against a suspect.

    A request that is cut off twice was repeated in between, so these were two
    events, however close.
    """
    return max(origins.values()) if _content.is_content(suspect) else 1


def _not_explained(suspects: Suspects, causes: set[ids.Suspect]) -> Suspects:
    """Return the suspects of a moment that its causes leave.

    A prompt part of a request that crashes targets may be what crashes them.
    """
    found = causes & suspects.keys()
    if not found:
        return suspects
    if not all(_content.is_content(cause) for cause in found):
        return {}
    return {
        suspect: origins
        for suspect, origins in suspects.items()
        if not _content.is_content(suspect) and found & origins.keys()
    }


def _most_frequent(
    counts: collections.Counter[ids.Suspect],
    unexplained: list[Suspects],
    ever_served: Collection[ids.Suspect],
    *,
    is_serving: bool,
) -> set[ids.Suspect]:
    """Return the suspects with the most crashes, if these are enough.

    Those that were served before the crashes come second and need more. A
    content goes before the parts of its own prompt, as its refusal keeps
    fewer requests away.
    """
    never_served = {s for s in counts if s not in ever_served}
    groups = [
        (never_served, MIN_CRASHES),
        (counts.keys() - never_served, MIN_CRASHES_OF_EQUALS),
    ]
    if not is_serving:
        # Before anything was served, all suspects look alike.
        groups = [(never_served, MIN_CRASHES_OF_EQUALS)] if ever_served else []
    for suspects, min_crashes in groups:
        origins = {s: _all_origins(s, unexplained) for s in suspects}
        # A single request that is repeated meets crashes of others.
        competing = {
            s
            for s in suspects
            if len(origins[s]) >= MIN_ORIGINS or not _content.is_content(s)
        }
        most = max((counts[s] for s in competing), default=0)
        leading = {s for s in competing if counts[s] == most}
        leading = {s for s in leading if not origins[s] & leading}
        if len(leading) > 1:
            min_crashes = MIN_CRASHES_OF_EQUALS if is_serving else float("inf")
        found = {s for s in leading if len(origins[s]) >= MIN_ORIGINS}
        if found and most >= min_crashes:
            return found
    return set()


def _all_origins(suspect: ids.Suspect, moments: list[Suspects]) -> set[str]:
    return set().union(*(s.get(suspect, ()) for s in moments))
