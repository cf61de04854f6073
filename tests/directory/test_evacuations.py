import pytest

from zinniadyke import directory
from zinniadyke.directory import _view

HOLD_S = 2.0


@pytest.fixture
def timers(monkeypatch):
    """Timers that the view has set, as (seconds, function to call)."""
    found = []
    monkeypatch.setattr(
        _view.eventlet,
        "spawn_after",
        lambda s, function, *rest: found.append((s, lambda: function(*rest))),
    )
    return found


def evacuations(era, revision, *zones):
    return directory.Evacuations(
        era=era, revision=revision, zones=frozenset(zones)
    )


def view_with(*lists):
    view = directory.View()
    for one in lists:
        view.set_evacuations(one, source="store")
    return view


@pytest.mark.parametrize(
    "late", [evacuations(1, 4), evacuations(1, 5), evacuations(0, 900)]
)
def test_list_that_is_not_newer_does_not_end_an_evacuation(late):
    """An agent passes on what an entry knew before; datagrams overtake."""
    view = view_with(evacuations(1, 5, "z1"), late)
    assert view.evacuated_zones == {"z1"}


def test_newer_list_ends_an_evacuation_at_once():
    view = view_with(evacuations(1, 5, "z1"), evacuations(1, 6))
    assert view.evacuated_zones == set()


def test_restored_store_without_the_evacuation_holds_it_two_seconds(timers):
    """The zone must not be used until the operator can write it again."""
    view = view_with(evacuations(1, 50, "z1", "z2"), evacuations(2, 9, "z2"))
    assert view.evacuated_zones == {"z1", "z2"}
    # What is told to others is the list alone.
    assert view.evacuations == evacuations(2, 9, "z2")
    view.set_evacuations(evacuations(2, 10, "z2", "z3"), source="store")
    assert view.evacuated_zones == {"z1", "z2", "z3"}
    ((delay_s, end_hold),) = timers
    assert delay_s == HOLD_S
    end_hold()
    assert view.evacuated_zones == {"z2", "z3"}


def test_evacuation_written_again_outlasts_the_hold(timers):
    view = view_with(
        evacuations(1, 50, "z1"), evacuations(2, 9), evacuations(2, 10, "z1")
    )
    timers[0][1]()
    assert view.evacuated_zones == {"z1"}
    view.set_evacuations(evacuations(2, 11), source="store")
    assert view.evacuated_zones == set()


def test_second_restoration_begins_a_hold_of_its_own(timers):
    view = view_with(
        evacuations(1, 50, "z1"), evacuations(2, 9), evacuations(3, 7)
    )
    timers[0][1]()
    assert view.evacuated_zones == {"z1"}
    timers[1][1]()
    assert view.evacuated_zones == set()


@pytest.mark.parametrize("follows", [True, False])
def test_view_is_incomplete_without_evacuations_only_where_followed(follows):
    """An entry that restarts would send into an evacuated zone."""
    view = directory.View()
    view.follows_evacuations = follows
    view.set_targets({})
    view.set_configuration(
        directory.ServingConfiguration(
            version=1,
            routes={},
            services={},
            limits=directory.CallerLimits(),
            workspaces=None,
        )
    )
    assert view.complete is not follows
    view.set_evacuations(evacuations(0, 1), source="agent")
    assert view.complete
