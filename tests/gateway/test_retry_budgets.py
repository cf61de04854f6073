"""Retries of all entries together, in any window of the budget."""

import pytest

from tests import clock as clocks
from zinniadyke.gateway import _retry_budgets
from zinniadyke import ids
from zinniadyke.requests import _retry_budget
from zinniadyke import settings

SERVICE = ids.ServiceName("desk")
ENTRIES = 14
WINDOW_S = 10.0
STEP_S = 0.1
BOUNDS = settings.BoundsSection(retry_ratio=0.2, retry_extra=128.0)


class Fleet:
    """Entries that ask for a retry of each request, in virtual time."""

    def __init__(self, clock, few_known_s):
        self.clock = clock
        self.few_known_s = few_known_s
        self.requests = []
        self.granted = []
        self.budgets = [self.start() for _ in range(ENTRIES)]

    def start(self):
        started_at = self.clock.monotonic()
        return _retry_budgets.RetryBudgets(
            bounds=BOUNDS,
            count_entries=lambda: (
                5
                if self.clock.monotonic() < started_at + self.few_known_s
                else ENTRIES
            ),
        )

    def play(self, for_s, *, failing):
        for _ in range(round(for_s / STEP_S)):
            self.clock.now += STEP_S
            now = self.clock.monotonic()
            for budgets in self.budgets:
                budgets.deposit(SERVICE)
                self.requests.append(now)
                if failing and budgets.withdraw(SERVICE):
                    self.granted.append(now)

    def check(self):
        """Check each window of the budget."""
        for start in self.granted:
            end = start + WINDOW_S
            granted = sum(start <= at < end for at in self.granted)
            asked = sum(start <= at < end for at in self.requests)
            assert granted <= 0.2 * asked + 128, f"from {start:.2f} s"


@pytest.fixture
def fleet(monkeypatch, request):
    clock = clocks.Clock()
    monkeypatch.setattr(_retry_budgets, "time", clock)
    monkeypatch.setattr(_retry_budget, "time", clock, raising=False)
    return Fleet(clock, request.param)


@pytest.mark.parametrize("fleet", [0.0, 0.6], indirect=True)
def test_restarted_entries_do_not_renew_the_retry_budget(fleet):
    fleet.play(15.0, failing=False)
    for _ in range(3):
        fleet.play(2.0, failing=True)
        fleet.budgets = [fleet.start() for _ in range(ENTRIES)]
    fleet.play(10.0, failing=True)
    fleet.check()
