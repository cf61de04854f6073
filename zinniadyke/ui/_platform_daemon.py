"""Daemons on the users' platform: gateway and sidecar."""

import logging
import os
import signal

import eventlet
import msgspec

from zinniadyke import errors
from zinniadyke import settings
from zinniadyke import telemetry
from zinniadyke.ui import _signals

LOG = logging.getLogger(__name__)

# Interval between checks of the settings file, which may change without a
# signal.
SETTINGS_CHECK_S = 1.0
LOG_LEVEL = "log.level"


def run(name: str, file: str) -> int:
    """Run a daemon until it receives a stop signal."""
    loaded = settings.load(file, settings.PlatformProcessSettings)
    telemetry.set_up_logs(loaded.log.level.value, process=loaded.host.name)
    LOG.info("start", extra={"program": name, "settings": file})
    try:
        if loaded.metrics.address:
            telemetry.serve_metrics(
                loaded.metrics.address, loaded.metrics.max_series
            )
        process = _create_process(name, loaded)
    except OSError as error:
        raise errors.SettingsError(f"{name} {loaded.host.name}: {error}")
    process.start()
    reloader = SettingsReloader(file=file, loaded=loaded)
    eventlet.spawn_n(reloader.poll)
    _signals.wait_for_stop(reloader.reload)
    signal.signal(signal.SIGTERM, signal.SIG_IGN)
    LOG.info("stopping", extra={"program": name})
    drained = process.shut_down()
    LOG.info("stopped", extra={"program": name, "whole": drained})
    logging.shutdown()
    os._exit(0)


def _create_process(name: str, loaded: settings.PlatformProcessSettings):
    if name == "gateway":
        from zinniadyke import gateway

        return gateway.Gateway(loaded=loaded)
    from zinniadyke import sidecar

    return sidecar.Sidecar(loaded=loaded)


def changed_settings(
    before: settings.PlatformProcessSettings,
    after: settings.PlatformProcessSettings,
) -> set[str]:
    """Return the dotted names of the settings that differ."""
    return {
        f"{section}.{name}"
        for section, values in msgspec.structs.asdict(after).items()
        for name, value in msgspec.structs.asdict(values).items()
        if value != getattr(getattr(before, section), name)
    }


class SettingsReloader:
    """Applies changes of the settings file that need no restart.

    Only the log level may change. A file with other changes is refused as a
    whole, as a part of it would leave the process between two settings.
    """

    def __init__(
        self, *, file: str, loaded: settings.PlatformProcessSettings
    ) -> None:
        """Start from the settings loaded at the start of the process."""
        self.file = file
        self.loaded = loaded
        self.last_modified = self._modification_time()

    def poll(self) -> None:
        """Reload the file whenever it changes; never returns."""
        while True:
            eventlet.sleep(SETTINGS_CHECK_S)
            if self._modification_time() != self.last_modified:
                self.reload()

    def reload(self) -> None:
        """Load the file again; keep the old settings if it is not valid."""
        self.last_modified = self._modification_time()
        try:
            loaded = settings.load(self.file, settings.PlatformProcessSettings)
        except errors.SettingsError as error:
            LOG.warning(
                "reload failed, settings unchanged",
                extra={"reason": error.message},
            )
            return
        changed = changed_settings(self.loaded, loaded) - {LOG_LEVEL}
        if changed:
            LOG.warning(
                "reload refused, these settings need a restart",
                extra={"settings": self.file, "changed": sorted(changed)},
            )
            return
        self.loaded = loaded
        logging.getLogger().setLevel(loaded.log.level.value.upper())
        LOG.info("reload", extra={"settings": self.file})

    def _modification_time(self) -> float:
        try:
            return os.stat(self.file).st_mtime
        except OSError as error:
            LOG.warning("settings", extra={"reason": str(error)})
            return 0.0
