import random

from zinniadyke.gateway import _caller_wait


def fill(estimator, deadlines):
    for deadline_s in deadlines:
        estimator.waited_s("r", deadline_s)


def test_shorter_deadline_tells_how_long_a_caller_has_waited():
    estimator = _caller_wait.CallerWaitEstimator()
    fill(estimator, [6.093] * 30)
    assert estimator.waited_s("r", 6.093) == 0.0
    assert abs(estimator.waited_s("r", 5.293) - 0.8) < 1e-6
    assert estimator.waited_s("another", 5.293) == 0.0


def test_few_deadlines_tell_nothing():
    estimator = _caller_wait.CallerWaitEstimator()
    fill(estimator, [6.0] * (_caller_wait.MIN_DEADLINES - 2))
    assert estimator.waited_s("r", 5.0) == 0.0


def test_callers_that_differ_by_themselves_have_not_waited():
    estimator = _caller_wait.CallerWaitEstimator()
    rng = random.Random(1)
    fill(estimator, [rng.uniform(1.0, 6.0) for _ in range(200)])
    assert estimator.waited_s("r", 2.0) == 0.0


def test_another_deadline_that_many_share_is_their_own():
    estimator = _caller_wait.CallerWaitEstimator()
    fill(estimator, [6.0, 3.0] * 50)
    assert estimator.waited_s("r", 3.0) == 0.0
    assert estimator.waited_s("r", 4.2) > 0.0


def test_many_that_come_back_do_not_hide_the_usual_deadline():
    """Some callers repeat at once and often."""
    estimator = _caller_wait.CallerWaitEstimator()
    rng = random.Random(2)
    for _ in range(60):
        fill(estimator, [6.0, *(rng.uniform(3.0, 5.9) for _ in range(3))])
    assert abs(estimator.waited_s("r", 5.0) - 1.0) < 1e-6
