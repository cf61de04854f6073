import pytest

from tests import clock
from tests.sidecar import test_sidecar
from zinniadyke import errors
from zinniadyke.sidecar import _version_recorder
from zinniadyke import uptime

HOSTS = [f"10.0.0.{n}" for n in range(8)]


@pytest.fixture
def manual_clock(monkeypatch):
    made = clock.Clock()
    monkeypatch.setattr(uptime, "now_s", made.now_s)
    return made


class Fleet:
    """Recorders of all hosts with one record between them."""

    def __init__(self, lost=0, error=None):
        self.calls = []
        self.recorded = []
        self.error = error
        by_delay = sorted(HOSTS, key=lambda h: delay_s(h) or 0.0)
        order = [h for h in by_delay if delay_s(h) is not None]
        self.recorders = [self.make(h) for h in HOSTS if h not in order[:lost]]
        for recorder in self.recorders:
            recorder.handle_observed("m", 2, uptime.now_s())

    def make(self, ip):
        def record(model, version, named_unix_ms):
            self.calls.append(ip)
            if self.error:
                raise self.error
            if not self.recorded:
                self.recorded.append(ip)
                return True
            return False

        return _version_recorder.VersionRecorder(
            my_ip=ip, find_hosts=lambda model: HOSTS, record=record
        )

    def step(self):
        for recorder in self.recorders:
            recorder.step()


def delay_s(host):
    return _version_recorder.recording_delay_s(HOSTS, host, "m", 2)


def test_three_agents_may_record_one_after_another():
    delays = [delay_s(h) for h in HOSTS]
    assert sorted(d for d in delays if d is not None) == [0.0, 0.5, 1.0]


def test_unlisted_agent_does_not_record():
    assert (
        _version_recorder.recording_delay_s(HOSTS, "10.1.1.1", "m", 2) is None
    )


def test_first_agent_records_at_once(manual_clock):
    fleet = Fleet()
    fleet.step()
    assert fleet.recorded == fleet.calls
    assert delay_s(fleet.recorded[0]) == 0.0


@pytest.mark.parametrize("lost", [1, 2])
def test_lost_agents_are_replaced_by_the_next(manual_clock, lost):
    fleet = Fleet(lost=lost)
    manual_clock.now += 0.5 * lost - 0.05
    fleet.step()
    assert fleet.recorded == []
    manual_clock.now += 0.1
    fleet.step()
    assert [delay_s(h) for h in fleet.recorded] == [0.5 * lost]


@pytest.mark.parametrize("kind", [errors.ConflictError, errors.PlatformError])
def test_failed_write_is_logged_once_and_not_repeated(
    manual_clock, kind, caplog
):
    fleet = Fleet(error=kind("refused"))
    for _ in range(5):
        fleet.step()
        manual_clock.now += 1.0
    assert len(fleet.calls) == len(set(fleet.calls)) == 3
    assert len(caplog.records) == 3


def test_agents_record_a_version_once_but_not_one_of_their_first_list():
    """Several writes would cost calls; a first list tells no time."""
    with test_sidecar.fleet(1, 1, 1) as made:
        views = [a.weights_updater.view for a in made.agents.values()]
        assert test_sidecar.deploy.wait_until(
            lambda: all(v.listed_versions is not None for v in views)
        )
        made.name(2)
        assert made.all_hold(2)
        stored = made.store.objects["versions"]["m"]
        assert stored["status"]["version"] == 2
        assert made.store.writes == 1
        made.store.put("versions", "m", {"model": "m", "version": 3})
        for agent in made.agents.values():
            agent.close()
        for ip in made.ips:
            made.start(ip)
        assert made.all_hold(3)
        assert made.store.objects["versions"]["m"]["status"] is None
