import random

from zinniadyke.gateway import _caller_wait


def fill(estimator, deadlines):
    for deadline_s in deadlines:
        estimator.waited_s("r", deadline_s)


def test_shorter_deadline_reveals_an_earlier_wait():
    estimator = _caller_wait.CallerWaitEstimator()
    fill(estimator, [6.093] * 30)
    assert estimator.waited_s("r", 6.093) == 0.0
    assert abs(estimator.waited_s("r", 5.293) - 0.8) < 1e-6
    assert estimator.waited_s("another", 5.293) == 0.0


def test_too_few_deadlines_give_no_estimate():
    estimator = _caller_wait.CallerWaitEstimator()
    fill(estimator, [6.0] * (_caller_wait.MIN_DEADLINES - 2))
    assert estimator.waited_s("r", 5.0) == 0.0


def test_varied_deadlines_give_no_estimate():
    estimator = _caller_wait.CallerWaitEstimator()
    rng = random.Random(1)
    fill(estimator, [rng.uniform(1.0, 6.0) for _ in range(200)])
    assert estimator.waited_s("r", 2.0) == 0.0


def test_common_shorter_deadline_is_an_initial_one():
    estimator = _caller_wait.CallerWaitEstimator()
    fill(estimator, [6.0, 3.0] * 50)
    assert estimator.waited_s("r", 3.0) == 0.0
    assert estimator.waited_s("r", 4.2) > 0.0


def test_frequent_retries_do_not_hide_the_initial_deadline():
    """Some callers retry immediately and often."""
    estimator = _caller_wait.CallerWaitEstimator()
    rng = random.Random(2)
    for _ in range(60):
        fill(estimator, [6.0, *(rng.uniform(3.0, 5.9) for _ in range(3))])
    assert abs(estimator.waited_s("r", 5.0) - 1.0) < 1e-6
