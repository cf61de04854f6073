import time

import eventlet

from tests.gateway import deployment as deploy
from zinniadyke import directory
from zinniadyke.gateway import _target_table
from zinniadyke import ids

ENGINE = {"slots": 4, "models": [{"name": "m"}], "layers": 2, "chunks": 4}
ROUTE = deploy.route("s", kind="streaming", stream_resume=True)


def model_configuration():
    return deploy.configuration(
        routes=[ROUTE], services=[{"name": "desk", "engine": ENGINE}]
    )


def answer(exchange):
    exchange.head(framing="Transfer-Encoding: chunked")
    exchange.chunk(b"id: 1\ndata: x\n\n")
    exchange.chunk(b"")


def held(version, end=2):
    return {
        "models": [{"name": "m", "version": version}],
        "layers": {"from": 0, "target": end, "version": version},
    }


def make_deployment(*scripts, **bounds):
    system = deploy.Deployment(**bounds)
    system.configure(model_configuration())
    for number, script in enumerate(scripts):
        system.add_target(script, **held(1 + number))
    return system


def ask(system):
    return system.ask("/s/x", X_Zinniadyke_Model="m")[0]


def test_older_weights_serve_until_the_bound_is_near():
    system = make_deployment(answer, version_ms=1500)
    try:
        system.start()
        assert deploy.wait_until(
            lambda: system.gateway.view.listed_versions is not None
        )
        system.store.put("versions", "m", {"model": "m", "version": 2})
        assert deploy.wait_until(lambda: system.gateway.view.desired_weights)
        assert ask(system) == 200
        eventlet.sleep(1.5 - _target_table.VERSION_MARGIN_S + 0.05)
        assert ask(system) == 503
        assert len(system.targets[0].seen) == 1
    finally:
        system.stop()


def test_version_named_before_the_start_is_required_at_once():
    system = make_deployment(answer, answer)
    try:
        system.store.put("versions", "m", {"model": "m", "version": 2})
        system.start()
        for _ in range(4):
            assert ask(system) == 200
        assert [len(t.seen) for t in system.targets] == [0, 4]
    finally:
        system.stop()


def test_request_waiting_on_older_weights_is_withdrawn():
    closed = []

    def wait(exchange):
        closed.append(exchange.wait_closed(3.0))

    system = make_deployment(wait, answer, version_ms=1500)
    try:
        system.start()
        system.store.put(
            "servers", "t2", {**system.targets[1].spec, "state": "draining"}
        )
        system.store.put("versions", "m", {"model": "m", "version": 2})
        assert deploy.wait_until(
            lambda: (
                system.gateway.view.desired_weights
                and system.gateway.view.targets["t2"].leaving
            )
        )
        started = time.monotonic()
        asked = eventlet.spawn(ask, system)
        assert deploy.wait_until(lambda: system.targets[0].seen)
        # A start that is leaving never takes requests again.
        system.store.put(
            "servers", "t2", {**system.targets[1].spec, "born": 2}
        )
        assert asked.wait() == 200
        assert time.monotonic() - started < 1.5
        assert closed == [True]
    finally:
        system.stop()


def test_time_until_a_start_does_not_begin_anew_with_the_head():
    """The head comes as the target admits a request, before it begins it."""
    closed_after_s = []

    def admit_late(exchange):
        arrived_at = time.monotonic()
        eventlet.sleep(0.4)
        exchange.head(framing="Transfer-Encoding: chunked")
        exchange.wait_closed(2.0)
        closed_after_s.append(time.monotonic() - arrived_at)

    system = make_deployment(admit_late, version_ms=1500)
    try:
        system.start()
        assert deploy.wait_until(
            lambda: system.gateway.view.listed_versions is not None
        )
        start_in_s = 0.6
        named_s_ago = 1.5 - _target_table.START_MARGIN_S - start_in_s
        system.gateway.view.learn_desired_weights(
            ids.ModelName("m"), ids.WeightsVersion(2), named_s_ago
        )
        ask(system)
        assert deploy.wait_until(lambda: closed_after_s)
        assert closed_after_s[0] <= start_in_s + 0.1
    finally:
        system.stop()


def test_target_without_all_layers_gets_no_requests():
    system = deploy.Deployment()
    try:
        system.configure(model_configuration())
        system.add_target(answer, **held(1, end=1))
        system.add_target(answer)
        system.start()
        assert ask(system) == 503
    finally:
        system.stop()


def test_ages_of_versions_are_learned():
    view = directory.View()
    model, version = ids.ModelName("m"), ids.WeightsVersion(3)
    desired_weights = directory.DesiredWeights(model=model, version=version)
    view.set_desired_weights([desired_weights])
    assert view.desired_weights_ages_ms() == {"m": {3: None}}
    view.learn_desired_weights(model, version, 2.0)
    assert 1900 < view.desired_weights_ages_ms()["m"][3] < 2500
    view.learn_desired_weights(model, version, 1.0)
    assert view.desired_weights_ages_ms()["m"][3] > 1900
    view.learn_desired_weights(model, version, None)
    assert view.desired_weights_ages_ms()["m"][3] is not None
