import random

from tests import clock
from zinniadyke import requests

BOUNDS_S = 60.0


class Ledger(requests.CrashLedger):
    """A ledger with a manual clock that records what it announces."""

    def __init__(self):
        self.manual = clock.Clock()
        super().__init__(clock=self.manual.monotonic)
        self.found, self.cleared = [], []
        self.on_refused = self.found.append
        self.on_cleared = self.cleared.append

    def crash(self, name, *suspects, after_s=1.0):
        """Record a crash whose suspects are named by their parts."""
        self.manual.now += after_s
        self.record_crash(
            name,
            self.manual.now,
            {
                f"{name}-{n}": frozenset(parts.split())
                for n, parts in enumerate(suspects)
            },
        )

    def serve(self, parts, after_s=0.1):
        self.manual.now += after_s
        self.record_served(frozenset(parts.split()))


def test_part_that_all_crashes_have_in_common_is_refused():
    ledger = Ledger()
    for number in range(3):
        ledger.crash(number, "shared bad", f"shared own{number}")
        ledger.serve("shared")
    assert ledger.found == ["bad"]
    assert 0 < ledger.refused_for_s(["bad", "shared"]) <= BOUNDS_S
    assert ledger.refused_for_s(["shared"]) == 0


def test_part_of_a_single_repeated_request_is_not_refused():
    ledger = Ledger()
    for number in range(4):
        ledger.manual.now += 1.0
        ledger.record_crash(number, ledger.manual.now, {"r": {"once"}})
        ledger.serve("other")
    assert ledger.found == []


def test_nothing_is_refused_while_nothing_is_served():
    """All targets lose power again and again."""
    ledger = Ledger()
    for number in range(6):
        ledger.crash(number, "shared a", "shared b")
    assert ledger.found == []


def test_part_is_found_while_targets_crash_too_often_to_serve_anything():
    ledger = Ledger()
    ledger.serve("shared")
    for number in range(5):
        assert ledger.found == []
        ledger.crash(number, "shared bad", f"shared x{number}")
    assert ledger.found == ["bad"]


def test_crashes_at_the_same_moment_count_as_one():
    ledger = Ledger()
    for number in range(6):
        ledger.crash(number, "shared rare", "shared rare", after_s=0.01)
    ledger.serve("other")
    assert ledger.found == []


def test_part_that_is_served_between_crashes_is_not_refused():
    ledger = Ledger()
    for number in range(6):
        ledger.crash(number, "shared", "shared")
        ledger.serve("shared")
    assert ledger.found == []
    assert ledger.cleared == ["shared"] * 6


def test_part_served_before_yields_to_one_that_never_was():
    ledger = Ledger()
    ledger.serve("shared")
    for number in range(3):
        ledger.crash(number, "shared bad", "shared bad")
    ledger.serve("other")
    assert ledger.found == ["bad"]


def test_part_served_before_the_crashes_needs_more_of_them():
    """Callers with a common part go unserved while targets crash in turn."""
    ledger = Ledger()
    ledger.serve("common")
    for number in range(4):
        ledger.crash(number, "common", "common")
        ledger.serve("other")
    assert ledger.found == []
    ledger.crash(4, "common", "common")
    ledger.serve("other")
    assert ledger.found == ["common"]


def test_part_that_was_never_served_is_refused_before_a_more_frequent_one():
    ledger = Ledger()
    ledger.serve("common")
    ledger.crash(0, "common", "common")
    for number in range(1, 4):
        ledger.crash(number, "common bad", "common bad")
    ledger.serve("other")
    assert ledger.found == ["bad"]


def test_crashes_that_a_refused_part_explains_refuse_no_other():
    ledger = Ledger()
    ledger.serve("other")
    for number in range(3):
        ledger.crash(number, "bad", f"x{number}")
        ledger.serve("other")
    for number in range(3, 6):
        ledger.crash(number, "bad", "late", "late")
        ledger.serve("other")
    assert ledger.found == ["bad"]


def test_two_parts_with_crashes_of_their_own_are_both_refused():
    ledger = Ledger()
    for number in range(8):
        bad = "bad1" if number % 2 else "bad2"
        ledger.crash(number, f"shared {bad}", f"shared x{number}")
        ledger.serve("shared")
    assert sorted(ledger.found) == ["bad1", "bad2"]


def test_equals_are_refused_only_after_more_crashes():
    ledger = Ledger()
    for number in range(5):
        assert ledger.found == []
        ledger.crash(number, "one two", "one two")
        ledger.serve("other")
    assert sorted(ledger.found) == ["one", "two"]


def test_refused_part_with_which_a_request_is_served_is_taken_back():
    ledger = Ledger()
    ledger.refuse("sound", 30.0)
    assert ledger.refused_for_s(["sound"]) == 30.0
    ledger.serve("sound")
    assert ledger.refused_for_s(["sound"]) == 0
    assert ledger.cleared == ["sound"]


def test_refusal_ends_and_one_more_crash_brings_it_back_for_longer():
    ledger = Ledger()
    for number in range(3):
        ledger.crash(number, "bad", f"x{number}")
        ledger.serve("other")
    first_s = ledger.refused_for_s(["bad"])
    ledger.manual.now += first_s + 1.0
    assert ledger.refused_for_s(["bad"]) == 0
    ledger.crash("again", "bad", "y")
    ledger.serve("other")
    assert ledger.refused_for_s(["bad"]) > 1.5 * first_s


def test_refusal_that_has_ended_is_not_renewed_by_crashes_before_it():
    ledger = Ledger()
    for number in range(3):
        ledger.crash(number, "bad", f"x{number}")
        ledger.serve("other")
    ledger.manual.now += ledger.refused_for_s(["bad"]) + 1.0
    ledger.crash("other", "elsewhere")
    ledger.serve("other")
    assert ledger.refused_for_s(["bad"]) == 0


def test_crashing_part_is_found_among_many_sound_requests():
    """Load: one request in 20 crashes its target; 8 others wait there."""
    for seed in range(50):
        drawn = random.Random(seed)
        ledger = Ledger()
        for _ in range(50):
            ledger.serve(f"first{drawn.randrange(10)}")
        for number in range(5):
            first = drawn.randrange(10)
            ledger.crash(
                number,
                f"first{first} bad",
                *(f"first{drawn.randrange(10)}" for _ in range(8)),
                after_s=0.4,
            )
            for _ in range(3):
                ledger.serve(f"first{drawn.randrange(10)}")
        assert ledger.found == ["bad"], seed


def test_part_whose_requests_come_seldom_is_refused_too():
    ledger = Ledger()
    for number in range(3):
        ledger.crash(number, "bad", f"x{number}", after_s=25.0)
        ledger.serve("other")
    assert ledger.found == ["bad"]


def content(name):
    return requests.digest_content(name.encode())


def crash_with(ledger, name, *suspects_by_request, after_s=1.0):
    """Record a crash with the suspects of each of its requests."""
    ledger.manual.now += after_s
    ledger.record_crash(
        name,
        ledger.manual.now,
        {r: frozenset(suspects) for r, suspects in suspects_by_request},
    )


def test_request_that_crashes_targets_is_refused_not_its_shared_part():
    ledger = Ledger()
    deadly = content("deadly")
    ledger.serve("other")
    for number in range(3):
        crash_with(
            ledger,
            number,
            (f"r{number}", {deadly, "rare"}),
            (f"s{number}", {content(f"sound{number}")}),
        )
        ledger.serve("other")
    assert ledger.found == [deadly]
    assert ledger.refuses([deadly])
    assert not ledger.refuses(["rare", content("sound1")])


def test_part_that_crashes_targets_in_different_requests_is_refused():
    """The first request is tried again and again, then another one comes."""
    ledger = Ledger()
    ledger.serve("other")
    for number in range(3):
        crash_with(ledger, number, (f"r{number}", {content("first"), "bad"}))
        ledger.serve("other")
    crash_with(ledger, 3, ("r3", {content("second"), "bad"}))
    assert ledger.found == [content("first"), "bad"]


def test_request_that_is_repeated_at_once_counts_each_crash():
    ledger = Ledger()
    deadly = content("deadly")
    ledger.serve("other")
    crash_with(ledger, 0, ("r0", {deadly}))
    crash_with(ledger, 1, ("r0", {deadly}), after_s=0.03)
    ledger.serve("other")
    crash_with(ledger, 2, ("r1", {deadly}))
    assert ledger.found == [deadly]


def test_equal_requests_at_a_rack_that_loses_power_are_not_refused():
    ledger = Ledger()
    ledger.serve("other")
    for number in range(6):
        crash_with(
            ledger, number, (f"r{number}", {content("hot")}), after_s=0.01
        )
    ledger.serve("other")
    assert ledger.found == []


def test_one_request_that_meets_crashes_of_others_is_not_refused():
    ledger = Ledger()
    ledger.serve("other")
    for number in range(4):
        crash_with(ledger, number, ("r", {content("sound")}))
        ledger.serve("other")
    assert ledger.found == []


def test_requests_of_which_equal_ones_were_served_need_more_crashes():
    ledger = Ledger()
    hot = content("hot")
    ledger.record_served([hot])
    for number in range(4):
        crash_with(ledger, number, (f"r{number}", {hot}))
        ledger.serve("other")
    assert ledger.found == []
    crash_with(ledger, 4, (f"r{number}", {hot}))
    assert ledger.found == [hot]


def test_served_request_is_refused_no_more():
    ledger = Ledger()
    ledger.serve("other")
    for number in range(3):
        crash_with(ledger, number, (f"r{number}", {content("deadly")}))
        ledger.serve("other")
    assert ledger.refuses([content("deadly")])
    ledger.manual.now += 1.0
    ledger.record_served([content("deadly")])
    assert not ledger.refuses([content("deadly")])
    assert ledger.cleared == [content("deadly")]


def test_contents_of_served_requests_do_not_displace_prompt_parts():
    ledger = Ledger()
    ledger.serve("shared")
    for number in range(10000):
        ledger.record_served([content(str(number))])
    assert "shared" in ledger.served_parts
    assert len(ledger.served_contents) < 10000


def test_prompt_part_with_the_prefix_of_contents_is_a_part():
    """Callers name the model that a part begins with."""
    ledger = Ledger()
    ledger.record_served(["content:00/5a"])
    assert "content:00/5a" in ledger.served_parts


def test_sound_request_that_meets_each_crash_does_not_hide_the_cause():
    """It is repeated at the targets that a prompt part crashes next."""
    ledger = Ledger()
    ledger.serve("other")
    for number in range(3):
        crash_with(
            ledger,
            number,
            (f"d{number}", {content(f"deadly{number}"), "bad"}),
            ("s", {content("sound")}),
        )
        ledger.serve("other")
    assert ledger.found == ["bad"]


def test_sound_request_that_comes_again_is_not_taken_for_the_cause():
    ledger = Ledger()
    ledger.serve("other")
    for number in range(3):
        crash_with(
            ledger,
            number,
            (f"d{number}", {content(f"deadly{number}"), "bad"}),
            (f"s{number}", {content("sound")}),
        )
        ledger.serve("other")
    assert ledger.found == []
    crash_with(ledger, 3, ("d3", {content("deadly3"), "bad"}))
    ledger.serve("other")
    assert ledger.found == ["bad"]
