"""Configurations whose routes change for as long as a gateway runs."""

from tests.gateway import deployment as deploy


def test_nothing_is_kept_of_routes_that_are_gone():
    """Guards against memory that grows with each new name of a route."""
    with deploy.deployment(lambda e: e.answer(200, b"ok")) as system:
        for version in range(2, 8):
            name = f"r{version}"
            system.configure(
                deploy.configuration(version, [deploy.route(name)])
            )
            view = system.gateway.view
            assert deploy.wait_until(
                lambda: view.configuration.version == version  # noqa: B023
            )
            assert system.ask(f"/{name}/x")[0] == 200
            assert set(system.gateway.recent_times.by_route) == {name}
            kept = system.gateway.wait_estimator.deadlines_by_route
            assert set(kept) == {name}
