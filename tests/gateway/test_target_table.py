import sys

import pytest

from tests import clock
from zinniadyke.bench import _placement_fleet
from zinniadyke import directory
from zinniadyke import errors
from zinniadyke.gateway import _scope
from zinniadyke.gateway import _target_state
from zinniadyke.gateway import _target_table


@pytest.fixture
def fake_clock(monkeypatch):
    manual_clock = clock.Clock()
    monkeypatch.setattr(
        _target_state.time, "monotonic", manual_clock.monotonic
    )
    return manual_clock


REGIONS = {"z1": "r1", "z2": "r2"}
# Bytecode instructions and calls for each candidate of a service with
# engines, counted in f97de74, before regions and evacuations.
INSTRUCTIONS_PER_TARGET = 95
CALLS_PER_TARGET = 10


def target(name, address, born_ms, zone="z", **more):
    fields = {
        "id": name,
        "service": "s",
        "address": address,
        "zone": zone,
        "slots": 4,
        "leaving": False,
        "born_ms": born_ms,
        "weights": {},
    }
    return directory.Target(**{**fields, **more})


def table_of(*targets, services=None):
    if services is None:
        services = {"s": directory.Service(name="s", max_connections=9)}
    view = directory.View()
    view.set_configuration(
        directory.ServingConfiguration(
            version=1,
            routes={},
            services=services,
            limits=directory.CallerLimits(),
            workspaces=None,
        )
    )
    view.set_targets({t.id: t for t in targets})
    target_table = _target_table.TargetTable(
        view=view, version_bound_s=8.0, regions=REGIONS
    )
    return target_table, view


def test_start_of_an_unknown_service_outdates_no_target():
    sound = target("t1", "a:1", 1000)
    other = target("t2", "a:1", 2000, service="unheard")
    target_table, _ = table_of(sound, other)
    assert names(target_table) == {"t1"}


def scope(*regions):
    return _scope.Scope(
        service="s", allowed_regions=frozenset(regions) or None
    )


def names(target_table, *regions):
    return {s.target.id for s in target_table.candidates(scope(*regions), [])}


def evacuate(view, revision, *zones):
    view.set_evacuations(
        directory.Evacuations(
            era=0, revision=revision, zones=frozenset(zones)
        ),
        source="store",
    )


def test_registration_of_an_earlier_start_is_not_used():
    """After a restart of all targets, each address is registered twice."""
    old, other = target("old", "a:1", 1000), target("other", "b:1", 1000)
    target_table, view = table_of(old, other)
    assert names(target_table) == {"old", "other"}
    new = target("new", "a:1", 2000)
    view.set_targets({t.id: t for t in (old, other, new)})
    assert names(target_table) == {"new", "other"}
    assert {s.target.id for s in target_table.available_targets("s")} == {
        "new",
        "other",
    }
    # If the later registration ends first, the old target may have the
    # address again.
    view.set_targets({t.id: t for t in (old, other)})
    assert names(target_table) == {"old", "other"}


def test_registrations_with_unknown_start_are_all_used():
    target_table, _ = table_of(
        target("one", "a:1", 0), target("two", "a:1", 2000)
    )
    assert names(target_table) == {"one", "two"}


def test_replaced_target_is_excluded_even_as_the_only_one(fake_clock):
    target_table, _ = table_of(target("t", "a:1", 0))
    target_table.states["t"].mark_replaced()
    assert names(target_table) == set()
    fake_clock.now += _target_state.REPLACED_BACKOFF_S + 0.1
    assert names(target_table) == {"t"}


def three_targets():
    return table_of(
        target("t1", "a:1", 1, zone="z1"),
        target("t2", "b:1", 1, zone="z2"),
        target("t3", "c:1", 1, zone="elsewhere"),
    )


def test_only_targets_known_to_be_in_an_allowed_region_are_candidates():
    """A zone that the settings do not name could be anywhere."""
    target_table, _ = three_targets()
    assert names(target_table) == {"t1", "t2", "t3"}
    assert names(target_table, "r1") == {"t1"}
    assert names(target_table, "r1", "r9") == {"t1"}
    assert names(target_table, "r9") == set()


def test_evacuated_zone_has_no_candidate_until_it_returns():
    target_table, view = three_targets()
    evacuate(view, 1, "z1")
    assert names(target_table) == {"t2", "t3"}
    assert len(target_table.available_targets("s")) == 2
    # A target that registers or changes meanwhile is evacuated as well.
    view.set_targets({**view.targets, "t4": target("t4", "d:1", 2, zone="z1")})
    assert names(target_table) == {"t2", "t3"}
    evacuate(view, 2, "z1", "z2", "elsewhere")
    assert names(target_table) == set()
    assert not target_table.has_open_target("s")
    evacuate(view, 3)
    assert names(target_table) == {"t1", "t2", "t3", "t4"}


def test_refusal_says_whether_regions_or_evacuations_leave_no_target():
    codes = errors.ResultCode
    target_table, view = three_targets()
    assert target_table.explain_no_target(scope("r9")) is (
        codes.REGION_UNAVAILABLE
    )
    evacuate(view, 1, "z1")
    assert target_table.explain_no_target(scope("r1")) is codes.ZONES_EVACUATED
    # Others are there, and may only be closed for a moment.
    assert target_table.explain_no_target(scope()) is codes.NO_TARGET
    evacuate(view, 2, "z1", "z2", "elsewhere")
    assert target_table.explain_no_target(scope()) is codes.ZONES_EVACUATED
    nobody = _scope.Scope(service="other")
    assert target_table.explain_no_target(nobody) is codes.NO_TARGET


def test_chosen_target_that_is_not_listed_any_more_follows_evacuations():
    """Its state is not refreshed while a connection to it is made."""
    target_table, view = three_targets()
    state = target_table.states["t1"]
    assert target_table.may_still_send(scope("r1"), state) == ""
    view.set_targets({})
    evacuate(view, 1, "z1")
    assert target_table.may_still_send(scope(), state)


def count_work(target_count, event_name):
    """Return the events of an interpreter that lists the candidates."""
    target_table, _ = table_of(
        *(
            target(f"t{n}", f"a{n}:1", 0, weights={"m": 1})
            for n in range(target_count)
        ),
        services={
            "s": directory.Service(
                name="s", max_connections=9, engine=_placement_fleet.PROFILE
            )
        },
    )
    models = _scope.Scope(service="s", model="m")
    events = []

    def trace(frame, event, argument):
        frame.f_trace_opcodes = True
        events.append(event)
        return trace

    start = sys.settrace if event_name == "opcode" else sys.setprofile
    before = sys.gettrace() if event_name == "opcode" else sys.getprofile()
    start(trace)
    try:
        found = target_table.candidates(models, [])
    finally:
        start(before)
    assert len(found) == target_count
    return sum(e.endswith(event_name) for e in events)


@pytest.mark.parametrize(
    ("event_name", "most"),
    [("opcode", INSTRUCTIONS_PER_TARGET), ("call", CALLS_PER_TARGET)],
)
def test_decision_without_restrictions_does_no_more_work_for_each_target(
    event_name, most
):
    few, many = count_work(10, event_name), count_work(30, event_name)
    assert (many - few) / 20 <= most
