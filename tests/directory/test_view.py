import pytest

from zinniadyke import directory
from zinniadyke import ids

MODEL = ids.ModelName("m")


@pytest.fixture
def entry():
    """A view of a process that watches the versions."""
    view = directory.View()
    view.watches_versions = True
    return view


def desired_weights(version):
    return directory.DesiredWeights(
        model=MODEL, version=ids.WeightsVersion(version)
    )


def age_ms(view, version):
    return view.desired_weights_ages_ms()["m"][version]


def test_age_of_the_first_list_is_not_known():
    view = directory.View()
    view.set_desired_weights([desired_weights(2)])
    assert age_ms(view, 2) is None
    view.set_desired_weights([desired_weights(3)])
    assert age_ms(view, 3) < 500


def test_first_list_after_an_outage_counts_from_its_end():
    """The process started while the store was away."""
    view = directory.View()
    view.set_desired_weights([desired_weights(3)], after_outage=True)
    assert age_ms(view, 3) < 500


def test_process_that_watches_does_not_take_over_ignorance(entry):
    """A restarted process tells of a version whose age it cannot know."""
    entry.set_desired_weights([desired_weights(1)])
    entry.learn_desired_weights(MODEL, ids.WeightsVersion(3), None)
    assert entry.desired_weights[MODEL] == 1
    entry.set_desired_weights([desired_weights(3)])
    assert age_ms(entry, 3) < 500


def test_process_that_watches_takes_what_it_cannot_see_yet(entry):
    entry.learn_desired_weights(MODEL, ids.WeightsVersion(3), None)
    assert entry.desired_weights[MODEL] == 3
    assert age_ms(entry, 3) is None


def test_agent_takes_a_version_of_unknown_age():
    view = directory.View()
    view.set_desired_weights([desired_weights(1)])
    view.learn_desired_weights(MODEL, ids.WeightsVersion(3), None)
    assert view.desired_weights[MODEL] == 3
    assert age_ms(view, 3) is None
    view.learn_desired_weights(MODEL, ids.WeightsVersion(3), 1.0)
    assert 900 < age_ms(view, 3) < 1500


def test_own_sight_gives_an_age_to_what_was_heard_without():
    view = directory.View()
    view.set_desired_weights([desired_weights(1)])
    view.learn_desired_weights(MODEL, ids.WeightsVersion(3), None)
    view.set_desired_weights([desired_weights(3)])
    assert age_ms(view, 3) < 500


def test_older_sight_of_another_process_counts():
    view = directory.View()
    view.set_desired_weights([desired_weights(3)], after_outage=True)
    view.learn_desired_weights(MODEL, ids.WeightsVersion(3), 7.0)
    assert age_ms(view, 3) >= 7000
