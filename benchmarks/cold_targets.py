"""Plays entries, agents and cold targets in virtual time, without I/O.

Lent tokens and placement run the code of the product. Messages take
``ONE_WAY_S`` and some are lost; targets have a random service time.
"""

import heapq
import itertools
import random

import msgspec

from zinniadyke import directory
from zinniadyke.gateway import _cold_source
from zinniadyke.gateway import _placement
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _token_borrower
from zinniadyke.gateway import _token_holder
from zinniadyke import reports
from zinniadyke import requests
from zinniadyke.sidecar import _token_lender

# Between regions.
ONE_WAY_S = 0.002
# Datagrams that are lost.
LOSS = 0.02
REPORT_INTERVAL_S = 0.1
SUBSCRIBE_PERIOD_S = 0.5
COLD_PER_S = 32
OVERAGE = 1.5
SLACK = 5.0
# Slots of a target under slow start. Under the other ways slots bound nothing,
# as entries share them equally whatever their limits.
SLOTS = 32
MANY_SLOTS = 32 * 630
SERVICE_S = 0.4
MS_PER_S = 1000
WAYS = ("lent", "bucket", "slow")


class Clock:
    """Virtual time in place of the product's clocks."""

    now = 0.0

    def monotonic(self):
        """Return the virtual time."""
        return self.now

    now_s = monotonic


CLOCK = Clock()
for _module in (_target_state, _placement, _token_holder, _token_lender):
    _module.time = CLOCK
_token_holder.uptime = CLOCK


class Bucket:
    """An entry's equal share of a rate, with at least one token."""

    def __init__(self, *, rate_per_s):
        """Start with a token."""
        self.rate_per_s = rate_per_s
        self.tokens, self.filled_at = 1.0, CLOCK.now

    @property
    def count(self):
        """Number of requests that may be sent now."""
        gained = (CLOCK.now - self.filled_at) * self.rate_per_s
        self.tokens = min(max(1.0, self.rate_per_s), self.tokens + gained)
        self.filled_at = CLOCK.now
        return int(self.tokens)

    def take(self):
        """Use a token."""
        self.tokens -= 1


class Target:
    """A target, its agent, and what it has received."""

    def __init__(self, *, number, cold_until, way):
        """Start cold until the given time."""
        self.way = way
        self.started_at = CLOCK.now
        self.cold_until = cold_until
        self.running = 0
        self.arrivals = []
        self.registered = directory.Target(
            id=f"t{number}",
            service="s",
            address=f"10.0.0.{number}:80",
            zone="z",
            slots=SLOTS if way == "slow" else MANY_SLOTS,
            leaving=False,
            born_ms=1,
            weights={},
        )
        self.lender = None

    @property
    def slots(self):
        """Slots that the agent reports; with slow start a part while cold."""
        if self.way != "slow":
            return MANY_SLOTS
        if CLOCK.now >= self.cold_until:
            return SLOTS
        cold_s = self.cold_until - self.started_at
        passed = (CLOCK.now - self.started_at) / cold_s
        return max(1, int(SLOTS * passed))

    def most_while_cold(self):
        """Return the most requests in any second while it was cold."""
        times = [at for at in self.arrivals if at < self.cold_until]
        most, first = 0, 0
        for last, at in enumerate(times):
            while times[first] <= at - 1.0:
                first += 1
            most = max(most, last + 1 - first)
        return most


class Simulation:
    """Entries that send requests to targets, some of which are cold."""

    def __init__(self, *, way, entries, seed):
        """Start at time 0 without targets."""
        CLOCK.now = 0.0
        random.seed(seed)
        self.way = way
        self.rng = random.Random(seed)
        self.events = []
        self.numbers = itertools.count()
        self.targets = []
        self.entries = [[] for _ in range(entries)]
        self.limit = requests.make_cold_limit(
            cold_per_s=COLD_PER_S, cold_s=0.0, overage=OVERAGE, slack=SLACK
        )
        self.asked = 0

    def at(self, when, act, *arguments):
        """Call a function at a time."""
        event = when, next(self.numbers), act, arguments
        heapq.heappush(self.events, event)

    def deliver(self, act, *arguments):
        """Call a function when a datagram arrives, unless it is lost."""
        if self.rng.random() > LOSS:
            self.at(CLOCK.now + ONE_WAY_S, act, *arguments)

    def add_target(self, cold_s):
        """Add a target that all entries find at once."""
        target = Target(
            number=len(self.targets),
            cold_until=CLOCK.now + cold_s,
            way=self.way,
        )
        self.targets.append(target)
        target.lender = _token_lender.TokenLender(
            send=lambda answer, number: self.deliver(
                self.answer, target, number, answer
            ),
            address=target.registered.address,
        )
        # The agent has run for longer than its target.
        target.lender.started_at = CLOCK.now - 60.0
        for states in self.entries:
            state = _target_state.TargetState(target=target.registered)
            state.entries = len(self.entries)
            state.waiting = []
            state.subscribed_at = CLOCK.now + (
                self.rng.random() * SUBSCRIBE_PERIOD_S
            )
            if self.way == "lent":
                state.set_cold_limit(self.limit)
                state.record_cold(cold_s, _cold_source.ColdSource.REGISTRATION)
            elif self.way == "bucket" and cold_s:
                state.tokens = Bucket(
                    rate_per_s=COLD_PER_S / len(self.entries)
                )
            states.append(state)
        self.at(CLOCK.now, self.report, target)

    def report(self, target):
        """Send the agent's report to the entries that subscribed."""
        self.at(CLOCK.now + REPORT_INTERVAL_S, self.report, target)
        self.at(
            CLOCK.now + ONE_WAY_S,
            self.apply_report,
            target,
            target.running,
            target.slots,
        )

    def apply_report(self, target, running, slots):
        """Let all entries read a report."""
        number = self.targets.index(target)
        for states in self.entries:
            state = states[number]
            if CLOCK.now < state.subscribed_at or self.rng.random() < LOSS:
                continue
            if state.target.slots != slots:
                state.target = msgspec.structs.replace(
                    state.target, slots=slots
                )
            state.record_load(running, 0)
            if self.way == "lent":
                state.update_limit()
            elif CLOCK.now >= target.cold_until:
                state.tokens = None

    def ask(self, number):
        """Handle a caller's request at an entry."""
        states = self.entries[number]
        self.asked += 1
        preferred = self.choose(states, lambda s: s.free_slots > 0)
        if self.way != "lent" or preferred is None or preferred.within_limit:
            self.place(states)
            return
        tokens = preferred.tokens
        target = self.targets[states.index(preferred)]
        if CLOCK.now >= tokens.ask_again_at:
            tokens.record_asked()
            self.deliver(
                self.request_token,
                target,
                number,
                reports.TokenRequest(
                    address=target.registered.address,
                    born_ms=1,
                    limit_per_s=tokens.limit_per_s,
                    lifetime_ms=int(tokens.lifetime_s * MS_PER_S),
                    wait_ms=_token_borrower.COLD_AGENT_WAIT_MS,
                    asked_ms=int(CLOCK.now * MS_PER_S),
                ),
            )
        deadline = tokens.asked_at + _token_borrower.COLD_WAIT_S
        if tokens.awaits_answer and CLOCK.now < deadline:
            place = [states]
            preferred.waiting.append(place)
            self.at(deadline, self.place_once, place)
            return
        if tokens.has_no_agent:
            tokens.use_share(len(self.entries))
        self.place(states)

    def request_token(self, target, number, message):
        """Let the agent read a request for a token."""
        target.lender.handle_request(message, number)
        self.lend(target)

    def lend(self, target):
        """Lend tokens that fall due, as the agent's task does."""
        for key, limit in target.lender.limits.items():
            target.lender._lend(key, limit, CLOCK.now)
            if limit.waiting:
                next_in_s = max(limit.schedule.next_in_s(CLOCK.now), 0.001)
                self.at(CLOCK.now + next_in_s, self.lend, target)

    def answer(self, target, number, message):
        """Let an entry read an agent's answer."""
        states = self.entries[number]
        state = states[self.targets.index(target)]
        if state.tokens is None:
            return
        state.tokens.record_answer(
            message.granted,
            message.next_in_ms / MS_PER_S,
            lifetime_s=message.lifetime_ms / MS_PER_S,
            lent_ms=message.lent_ms,
        )
        # A refusal ends the wait, and the request goes elsewhere.
        waiting, state.waiting = state.waiting, []
        for place in waiting:
            self.place_once(place)

    def place_once(self, place):
        """Place a request that waited for a token."""
        if place:
            self.place(place.pop())

    def place(self, states):
        """Send a request to the best target that takes it; drop it without."""
        state = self.choose(
            states, lambda s: s.free_slots > 0 and s.within_limit
        )
        if state is None:
            return
        state.in_flight += 1
        if state.tokens is not None:
            state.tokens.take()
        target = self.targets[states.index(state)]
        self.at(CLOCK.now + ONE_WAY_S, self.arrive, target, state)

    def choose(self, states, has_free_slot):
        """Return the best target of those that may take a request."""
        return _placement.choose_target(
            states, lambda zone: 0.0, has_free_slot, mean_response_s=SERVICE_S
        )

    def arrive(self, target, state):
        """Let a request arrive at its target."""
        target.arrivals.append(CLOCK.now)
        target.running += 1
        took_s = self.rng.expovariate(1 / SERVICE_S)
        self.at(CLOCK.now + took_s, self.finish, target, state)

    def finish(self, target, state):
        """Let a target answer a request."""
        target.running -= 1
        state.in_flight -= 1

    def load(self, demand_per_s):
        """Send requests at random entries, forever."""
        self.ask(self.rng.randrange(len(self.entries)))
        self.at(
            CLOCK.now + self.rng.expovariate(demand_per_s),
            self.load,
            demand_per_s,
        )

    def run(self, until):
        """Run all events up to a time."""
        while self.events and self.events[0][0] <= until:
            CLOCK.now, _, act, arguments = heapq.heappop(self.events)
            act(*arguments)
        CLOCK.now = until


def play_one(way, entries, demand_per_s, seed, cold_s=10.0):
    """Return the used part of the limit and the most in one second."""
    played = Simulation(way=way, entries=entries, seed=seed)
    played.add_target(cold_s)
    played.load(demand_per_s)
    played.run(cold_s)
    (target,) = played.targets
    wanted = min(played.asked, COLD_PER_S * cold_s)
    return len(target.arrivals) / wanted, target.most_while_cold()


def play_return(way, entries, demand_per_s, seed, *, warm=11, back=6):
    """Return the time until a zone has 0.9 of its share, and the most.

    The zone's targets come back after 2 s and are cold for 5 s. The most is
    that of one target in one second while it is cold; the time is infinite
    if the zone does not get there in 8 s.
    """
    played = Simulation(way=way, entries=entries, seed=seed)
    for _ in range(warm):
        played.add_target(0.0)
    played.load(demand_per_s)
    played.run(2.0)
    for _ in range(back):
        played.add_target(5.0)
    played.run(10.0)
    returned = played.targets[warm:]
    times = sorted(at for t in returned for at in t.arrivals)
    window_s = 0.5
    usual = demand_per_s * back / (warm + back) * window_s
    took_s = float("inf")
    for start in itertools.count():
        begin = 2.0 + start * 0.05
        if begin + window_s > 10.0:
            break
        if sum(begin <= at < begin + window_s for at in times) >= 0.9 * usual:
            took_s = begin + window_s - 2.0
            break
    return took_s, max(t.most_while_cold() for t in returned)
