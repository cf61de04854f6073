"""Reads and checks a settings file."""

import ipaddress
import pathlib
import re
import tomllib
import typing

import msgspec

from zinniadyke import errors
from zinniadyke.settings import _schema

PLACE = re.compile(r"(.*) - at `\$\.?(.*)`")
# How the place of a value in a mapping is told.
ANY_KEY = "[...]"
ADDRESS_KEYS = ("http", "peer", "address")
MAX_PORT = 65535


def load(path: str, schema: type = _schema.Settings):
    """Return the checked settings of a TOML file.

    Parameters
    ----------
    schema
        Type of the whole file.

    Raises
    ------
    SettingsError
        Names the file, the key, what was found and what is allowed.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}")
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: {error}")
    return parse(path, text, schema)


def parse(path: str, text: str, schema: type = _schema.Settings):
    """Return checked settings; ``path`` is for messages.

    Raises
    ------
    SettingsError
        As of :func:`load`.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(f"{path}: {error}")
    try:
        settings = msgspec.convert(raw, schema)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            f"{path}: {_explain(str(error), raw, schema)}"
        )
    _check_addresses(path, raw)
    return settings


def _explain(message: str, raw: dict, schema: type) -> str:
    match = PLACE.fullmatch(message)
    if match is None:
        return message + _allowed(message, "", schema)
    reason, key = match.groups()
    found = _look_up(raw, key)
    shown = "" if found is None else f" (found {found!r})"
    return f"{key}: {reason}{shown}{_allowed(reason, key, schema)}"


def _allowed(reason: str, key: str, schema: type) -> str:
    """Return what a key may hold, where the reason does not say it."""
    wanted = _type_at(key, schema)
    if "unknown field" in reason:
        names = msgspec.structs.fields(wanted)
        listed = sorted(field.name for field in names)
    elif "enum value" in reason:
        listed = [member.value for member in wanted]
    else:
        return ""
    return f"; allowed: {', '.join(listed)}"


def _type_at(key: str, schema: type) -> type:
    """Return the type of the schema at a dotted key."""
    found = schema
    plain = key.replace(ANY_KEY, "")
    for part in plain.split(".") if plain else []:
        name, _, _ = part.partition("[")
        found = typing.get_type_hints(found)[name]
        while options := typing.get_args(found):
            # Of a mapping, the type of its values.
            found = [o for o in options if o is not type(None)][-1]
    return found


def _look_up(raw: dict, key: str):
    value = raw
    for part in key.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return None if isinstance(value, dict) else value


def _check_addresses(path: str, raw: dict, place: str = "") -> None:
    for key, value in raw.items():
        name = f"{place}{key}"
        if isinstance(value, dict):
            _check_addresses(path, value, f"{name}.")
        elif key in ADDRESS_KEYS and not _is_address(value):
            raise errors.SettingsError(
                f"{path}: {name}: expected an IP number and port such as"
                f" 127.0.0.1:7001 (found {value!r})"
            )


def _is_address(text: str) -> bool:
    host, _, port = text.rpartition(":")
    try:
        ipaddress.ip_address(host)
        return 0 <= int(port) <= MAX_PORT
    except ValueError:
        return False
