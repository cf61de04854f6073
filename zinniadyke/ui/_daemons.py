"""Daemons: entry, agent, gateway, sidecar and the fakes."""

import argparse
import os
import random
import signal

from zinniadyke import errors
from zinniadyke import settings
from zinniadyke import telemetry
from zinniadyke.ui import _platform_daemon
from zinniadyke.ui import _signals

DAEMON_NAMES = ("entry", "agent", "fake", "gateway", "sidecar")
PLATFORM_DAEMON_NAMES = ("gateway", "sidecar")
# Environment variable with the path of the settings, if --config is absent.
CONFIG_VARIABLE = "ZINNIADYKE_CONFIG"
FAKE_KINDS = ("platform", "origin", "engine", "service")
KIB = 1 << 10
MIB = 1 << 20


def run(arguments: list[str]) -> int:
    """Run a daemon until it receives a stop signal."""
    parser = argparse.ArgumentParser(prog="zinniadyke")
    commands = parser.add_subparsers(dest="command", required=True)
    for name in DAEMON_NAMES:
        command = commands.add_parser(name)
        if name == "fake":
            command.add_argument("kind", choices=FAKE_KINDS)
        default = None
        if name in PLATFORM_DAEMON_NAMES:
            default = os.environ.get(CONFIG_VARIABLE)
        command.add_argument(
            "--config",
            required=default is None,
            default=default,
            metavar="FILE",
        )
    options = parser.parse_args(arguments)
    if options.command in PLATFORM_DAEMON_NAMES:
        return _platform_daemon.run(options.command, options.config)
    loaded = settings.load(options.config)
    if options.command == "fake":
        return _run_fake(options.kind, options.config, loaded)
    return _run_process(options.command, options.config, loaded)


def _run_process(name: str, file: str, loaded: settings.Settings) -> int:
    process_settings = getattr(loaded, name)
    if process_settings is None or loaded.platform is None:
        raise errors.SettingsError(
            f"{file}: sections [{name}] and [platform] are required"
        )
    telemetry.set_up_logs(
        loaded.log.level.value, process=process_settings.name
    )
    if loaded.statsd is not None:
        telemetry.set_up_metrics(
            loaded.statsd.host, loaded.statsd.port, loaded.statsd.prefix
        )
    process = _create_process(name, process_settings, loaded.platform.url)
    process.start()
    _signals.wait_for_stop()
    signal.signal(signal.SIGTERM, lambda *_: os._exit(1))
    return 0 if process.shut_down() else 1


def _create_process(name: str, process_settings, platform_url: str):
    try:
        if name == "entry":
            from zinniadyke import entry

            return entry.Entry(
                settings=process_settings, platform_url=platform_url
            )
        from zinniadyke import agent

        return agent.Agent(
            settings=process_settings, platform_url=platform_url
        )
    except OSError as error:
        raise errors.SettingsError(f"{name} {process_settings.name}: {error}")


def _run_fake(kind: str, file: str, loaded: settings.Settings) -> int:
    from zinniadyke import fakes
    from zinniadyke import weights

    section = getattr(loaded.fake, kind, None)
    if section is None:
        raise errors.SettingsError(
            f"{file}: section [fake.{kind}] is required"
        )
    if kind == "platform":
        fake = fakes.FakePlatform(address=section.address)
        fake.set_hosts(section.hosts)
    elif kind == "origin":
        fake = fakes.FakeOrigin(
            address=section.address, bytes_per_s=section.mib_s * MIB
        )
        for blob in section.blobs:
            data = random.Random(blob.seed).randbytes(blob.size_mib * MIB)
            manifest = weights.build_manifest(data, blob.chunk_kib * KIB)
            fake.put(blob.name, data)
            fake.put(blob.name + weights.MANIFEST_SUFFIX, manifest.encode())
    elif kind == "engine":
        fake = fakes.FakeEngine(
            address=section.address,
            checks_fencing=section.checks_fencing,
            seconds_per_word=section.seconds_per_word,
        )
    else:
        fake = fakes.FakeService(address=section.address)
    _signals.wait_for_stop()
    fake.stop()
    return 0
