"""Compares ways for entries to share the limit that a target names.

Virtual time, no I/O. Each entry gets requests at random times; some get more
than others. A request that finds a token goes to the target, any other one is
turned away or goes to another target. Printed for each way: the requests that
the target gets as a share of its limit (or of the demand, if that is lower),
the most in any window beside what is allowed, and the seeds with more.

    python benchmarks/target_limits.py --seeds 20

With ``--cold`` the same for cold targets, in windows of one second: tokens
lent for a short time, equal buckets, and slots that the agent opens gradually
(slow start). Then a zone of 6 of 17 targets comes back cold: the time until
it has 0.9 of its usual share, and the most at one target in one second.

    python benchmarks/target_limits.py --cold --seeds 5
"""

import argparse
import collections
import random

import cold_targets

from zinniadyke import requests

DURATION_S = 60.0
WINDOW_S = 4.0
# An entry's request for a token and the answer, between regions.
ROUND_TRIP_S = 0.004
# Datagrams that are lost.
LOSS = 0.02
# Time for which a request for a token waits at the agent.
WAITING_S = 0.2
# Weight of an entry relative to the next busier one.
SKEW = 0.9
WAYS = ("alone", "bucket", "shares", "lent")


def draw_arrivals(entries, demand_per_s, rng):
    """Return the times and entries of all requests, in order."""
    weights = [SKEW**n for n in range(entries)]
    arrivals, now = [], 0.0
    while now < DURATION_S:
        now += rng.expovariate(demand_per_s)
        arrivals.append((now, rng.choices(range(entries), weights)[0]))
    return arrivals


def send_by_schedules(arrivals, schedules):
    """Return the times of requests under each entry's own schedule."""
    return [at for at, entry in arrivals if schedules[entry].take(at)]


def send_by_buckets(arrivals, rate_per_s, entries):
    """Return the times under token buckets that hold at least one token."""
    tokens = [1.0] * entries
    filled_at = [0.0] * entries
    sent = []
    for at, entry in arrivals:
        gained = (at - filled_at[entry]) * rate_per_s
        tokens[entry] = min(max(1.0, rate_per_s), tokens[entry] + gained)
        filled_at[entry] = at
        if tokens[entry] >= 1:
            tokens[entry] -= 1
            sent.append(at)
    return sent


def send_by_lender(arrivals, limit_per_s, rng):
    """Return the times under tokens that one agent lends.

    A request without a token asks for one and waits for the answer only.
    """
    schedule = requests.TokenSchedule(
        rate_per_s=limit_per_s, now=0.0, keeps_phase=False
    )
    waiting: dict[int, float] = {}
    held = collections.defaultdict(list)
    sent = []
    for at, entry in arrivals:
        due_at = schedule.due_at
        while waiting and due_at <= at:
            first = next(iter(waiting))
            if waiting.pop(first) > due_at and rng.random() > LOSS:
                held[first].append(due_at + requests.TOKEN_LIFETIME_S)
                schedule.take(due_at)
            due_at = max(schedule.due_at, due_at)
        held[entry] = [until for until in held[entry] if until > at]
        if not held[entry] and rng.random() > LOSS:
            if not waiting and schedule.take(at):
                held[entry].append(at + requests.TOKEN_LIFETIME_S)
                at += ROUND_TRIP_S
            else:
                waiting[entry] = at + WAITING_S
        if held[entry]:
            held[entry].pop(0)
            sent.append(at)
    return sent


def send(way, arrivals, limit_per_s, entries, rng):
    """Return the times at which the target gets requests."""
    if way == "lent":
        return send_by_lender(arrivals, limit_per_s, rng)
    if way == "bucket":
        return send_by_buckets(arrivals, limit_per_s / entries, entries)
    schedules = [
        requests.TokenSchedule(
            rate_per_s=limit_per_s / (1 if way == "alone" else entries),
            now=0.0,
            keeps_phase=way == "shares",
        )
        for _ in range(entries)
    ]
    return send_by_schedules(arrivals, schedules)


def count_windows(sent):
    """Return the number of requests in the window from each of them on."""
    counts, end = [], 0
    for start, at in enumerate(sent):
        while end < len(sent) and sent[end] < at + WINDOW_S:
            end += 1
        counts.append(end - start)
    return counts or [0]


def print_cold(seeds):
    """Print one line for each number of entries, demand and way."""
    per_s = cold_targets.COLD_PER_S
    allowed = per_s * cold_targets.OVERAGE + cold_targets.SLACK
    print("one cold target\nentries demand way used most own allowed")
    for entries in (5, 35, 630):
        for demand in (0.5, 2.0, 10.0):
            for way in cold_targets.WAYS:
                played = [
                    cold_targets.play_one(way, entries, demand * per_s, seed)
                    for seed in range(seeds)
                ]
                used = sum(part for part, _ in played) / seeds
                most = max(most for _, most in played)
                print(
                    f"{entries:4} {demand:4} {way:7} {used:5.2f} {most:4}"
                    f" {per_s:3} {allowed:3.0f}",
                    flush=True,
                )
    print("a zone comes back\nentries usual way s most own allowed")
    for entries in (5, 35, 630):
        for usual in (10.0, 20.0, 40.0):
            for way in cold_targets.WAYS:
                played = [
                    cold_targets.play_return(way, entries, 17 * usual, seed)
                    for seed in range(seeds)
                ]
                took_s = sorted(took for took, _ in played)[seeds // 2]
                most = max(most for _, most in played)
                print(
                    f"{entries:4} {usual:4} {way:7} {took_s:5.2f} {most:4}"
                    f" {per_s:3} {allowed:3.0f}",
                    flush=True,
                )


def main():
    """Print one line for each load and way."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--seeds", type=int, default=20)
    parser.add_argument("--cold", action="store_true")
    options = parser.parse_args()
    seeds = options.seeds
    if options.cold:
        print_cold(seeds)
        return
    print("entries limit demand way used most allowed over")
    for entries in (5, 35, 630):
        for limit_per_s in (1.0, 5.0):
            allowed = 1.5 * limit_per_s * WINDOW_S + 5
            for demand in (0.5, 2.0, 10.0):
                for way in WAYS:
                    used, most, over = 0.0, 0, 0
                    for seed in range(seeds):
                        rng = random.Random(seed)
                        random.seed(seed)
                        arrivals = draw_arrivals(
                            entries, demand * limit_per_s, rng
                        )
                        sent = send(way, arrivals, limit_per_s, entries, rng)
                        wanted = min(len(arrivals), limit_per_s * DURATION_S)
                        used += len(sent) / wanted / seeds
                        windows = count_windows(sent)
                        most = max(most, *windows, 0)
                        over += any(n > allowed for n in windows)
                    print(
                        f"{entries:4} {limit_per_s:4} {demand:4} {way:7}"
                        f" {used:5.2f} {most:4} {allowed:4.0f}"
                        f" {over}/{seeds}"
                    )


if __name__ == "__main__":
    main()
