"""The daemons on the users' platform: gateway and sidecar."""

import logging
import os
import signal

import eventlet

from zinniadyke import errors
from zinniadyke import settings
from zinniadyke import telemetry
from zinniadyke.ui import _signals

LOG = logging.getLogger(__name__)

# How often the settings file is looked at; it may change without a signal.
SETTINGS_CHECK_S = 1.0


def run(name: str, file: str) -> int:
    """Run a daemon until it is told to stop."""
    loaded = settings.load(file, settings.PlatformProcessSettings)
    telemetry.set_up_logs(loaded.log.level.value, process=loaded.host.name)
    LOG.info("start", extra={"program": name, "settings": file})
    try:
        if loaded.metrics.address:
            telemetry.serve_metrics(loaded.metrics.address)
        process = _make(name, loaded)
    except OSError as error:
        raise errors.SettingsError(f"{name} {loaded.host.name}: {error}")
    process.start()
    reloader = Reloader(file=file, loaded=loaded)
    eventlet.spawn_n(reloader.watch)
    _signals.wait_for_stop(reloader.check)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    LOG.info("stopping", extra={"program": name})
    whole = process.shut_down()
    LOG.info("stopped", extra={"program": name, "whole": whole})
    logging.shutdown()
    os._exit(0)


def _make(name: str, loaded: settings.PlatformProcessSettings):
    if name == "gateway":
        from zinniadyke import gateway

        return gateway.Gateway(loaded=loaded)
    from zinniadyke import sidecar

    return sidecar.Sidecar(loaded=loaded)


class Reloader:
    """Takes changes of the settings file that need no restart.

    Only the log level does; addresses and bounds are those of the start.
    """

    def __init__(
        self, *, file: str, loaded: settings.PlatformProcessSettings
    ) -> None:
        """Start from the settings that were loaded."""
        self.file = file
        self.loaded = loaded
        self.seen = self._modified()

    def watch(self) -> None:
        """Look for changes, for ever."""
        while True:
            eventlet.sleep(SETTINGS_CHECK_S)
            if self._modified() != self.seen:
                self.check()

    def check(self) -> None:
        """Read the file again; a wrong one is logged and left out."""
        self.seen = self._modified()
        try:
            loaded = settings.load(self.file, settings.PlatformProcessSettings)
        except errors.SettingsError as error:
            LOG.warning("settings kept", extra={"reason": error.message})
            return
        self.loaded = loaded
        logging.getLogger().setLevel(loaded.log.level.value.upper())
        LOG.info("reload", extra={"settings": self.file})

    def _modified(self) -> float:
        try:
            return os.stat(self.file).st_mtime
        except OSError as error:
            LOG.warning("settings", extra={"reason": str(error)})
            return 0.0
