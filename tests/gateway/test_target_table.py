import pytest

from tests import clock
from zinniadyke import directory
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


def target(name, address, born_ms):
    return directory.Target(
        id=name,
        service="s",
        address=address,
        zone="z",
        slots=4,
        leaving=False,
        born_ms=born_ms,
        weights={},
    )


def table_of(*targets):
    view = directory.View()
    view.set_configuration(
        directory.ServingConfiguration(
            version=1,
            routes={},
            services={},
            limits=directory.CallerLimits(),
            workspaces=None,
        )
    )
    view.set_targets({t.id: t for t in targets})
    return _target_table.TargetTable(view=view, version_bound_s=8.0), view


def names(target_table):
    return {
        s.target.id
        for s in target_table.candidates(_scope.Scope(service="s"), [])
    }


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
