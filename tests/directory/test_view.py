import pytest

from zinniadyke import directory
from zinniadyke import ids

MODEL = ids.ModelName("m")


@pytest.fixture
def watching_view():
    """Return the view of a process that watches the versions."""
    view = directory.View()
    view.watches_versions = True
    return view


def desired_weights(version):
    return directory.DesiredWeights(
        model=MODEL, version=ids.WeightsVersion(version)
    )


def age_ms(view, version):
    return view.desired_weights_ages_ms()["m"][version]


def test_ages_of_the_first_list_are_unknown():
    view = directory.View()
    view.set_desired_weights([desired_weights(2)])
    assert age_ms(view, 2) is None
    view.set_desired_weights([desired_weights(3)])
    assert age_ms(view, 3) < 500


def test_ages_of_a_first_list_after_an_outage_start_at_its_end():
    """The process started during an outage of the store."""
    view = directory.View()
    view.set_desired_weights([desired_weights(3)], after_outage=True)
    assert age_ms(view, 3) < 500


def test_watching_process_ignores_reports_of_unknown_age(watching_view):
    """A restarted process reports a version whose age it does not know."""
    watching_view.set_desired_weights([desired_weights(1)])
    watching_view.learn_desired_weights(MODEL, ids.WeightsVersion(3), None)
    assert watching_view.desired_weights[MODEL] == 1
    watching_view.set_desired_weights([desired_weights(3)])
    assert age_ms(watching_view, 3) < 500


def test_watching_process_accepts_unknown_age_before_its_first_list(
    watching_view,
):
    watching_view.learn_desired_weights(MODEL, ids.WeightsVersion(3), None)
    assert watching_view.desired_weights[MODEL] == 3
    assert age_ms(watching_view, 3) is None


def test_agent_accepts_a_version_of_unknown_age():
    view = directory.View()
    view.set_desired_weights([desired_weights(1)])
    view.learn_desired_weights(MODEL, ids.WeightsVersion(3), None)
    assert view.desired_weights[MODEL] == 3
    assert age_ms(view, 3) is None
    view.learn_desired_weights(MODEL, ids.WeightsVersion(3), 1.0)
    assert 900 < age_ms(view, 3) < 1500


def test_later_list_of_an_agent_does_not_postpone_a_version():
    """All entries were restarted as it was named, and told of it."""
    view = directory.View()
    view.set_desired_weights([desired_weights(1)])
    view.learn_desired_weights(MODEL, ids.WeightsVersion(2), None)
    observed = []
    view.on_observed.append(lambda *named: observed.append(named))
    view.set_desired_weights([desired_weights(2)])
    assert age_ms(view, 2) is None
    assert observed == []


def test_greater_age_reported_by_another_process_is_used():
    view = directory.View()
    view.set_desired_weights([desired_weights(3)], after_outage=True)
    view.learn_desired_weights(MODEL, ids.WeightsVersion(3), 7.0)
    assert age_ms(view, 3) >= 7000
