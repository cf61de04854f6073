import logging

import pytest

from zinniadyke import settings
from zinniadyke.ui import _platform_daemon

SETTINGS = """
[host]
name = "e1"
zone = "z1"
region = "r1"
ip = "127.0.0.1"
ports = [7700, 7715]

[store]
address = "127.0.0.1:8000"

[log]
level = "info"
"""


@pytest.fixture
def reloader(tmp_path):
    file = tmp_path / "settings.toml"
    file.write_text(SETTINGS)
    level = logging.getLogger().level
    yield _platform_daemon.SettingsReloader(
        file=str(file),
        loaded=settings.load(str(file), settings.PlatformProcessSettings),
    )
    logging.getLogger().setLevel(level)


def rewrite(reloader, *changes):
    text = SETTINGS
    for before, after in changes:
        text = text.replace(before, after)
    with open(reloader.file, "w") as file:
        file.write(text)
    reloader.reload()


def test_reload_that_would_change_nothing_is_refused_by_name(reloader, caplog):
    """Not even its log level is taken."""
    before = reloader.loaded
    rewrite(reloader, ("8000", "8001"), ('"info"', '"debug"'))
    (line,) = [r for r in caplog.records if "refused" in r.message]
    assert line.changed == ["store.address"]
    assert reloader.loaded is before
    assert not [r for r in caplog.records if r.message == "reload"]


def test_reload_of_the_log_level_takes_effect(reloader):
    rewrite(reloader, ('"info"', '"debug"'))
    assert logging.getLogger().level == logging.DEBUG
