"""Reads and validates settings files."""

import ipaddress
import pathlib
import re
import tomllib
import typing

import msgspec

from zinniadyke import errors
from zinniadyke.settings import _schema

VALIDATION_MESSAGE = re.compile(r"(.*) - at `\$\.?(.*)`")
# msgspec writes this for the key of a value in a mapping.
ANY_KEY = "[...]"
ADDRESS_KEYS = ("http", "peer", "address")
MAX_PORT = 65535


def load(path: str, schema: type = _schema.Settings):
    """Return the validated settings of a TOML file.

    Parameters
    ----------
    schema
        Struct type of the whole file.

    Raises
    ------
    SettingsError
        The file cannot be read or is not valid. The message names the file,
        the key, the value found and the allowed values.
    """
    try:
        text = pathlib.Path(path).read_text(encoding="utf-8")
    except OSError as error:
        raise errors.SettingsError(f"{path}: {error.strerror}")
    except UnicodeDecodeError as error:
        raise errors.SettingsError(f"{path}: {error}")
    return parse(path, text, schema)


def parse(path: str, text: str, schema: type = _schema.Settings):
    """Return the validated settings of a TOML text.

    ``path`` is used in error messages only.

    Raises
    ------
    SettingsError
        The text is not valid; see :func:`load`.
    """
    try:
        raw = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.SettingsError(f"{path}: {error}")
    try:
        settings = msgspec.convert(raw, schema)
    except msgspec.ValidationError as error:
        raise errors.SettingsError(
            f"{path}: {_describe_error(str(error), raw, schema)}"
        )
    _check_addresses(path, raw)
    return settings


def _describe_error(message: str, raw: dict, schema: type) -> str:
    match = VALIDATION_MESSAGE.fullmatch(message)
    if match is None:
        return message + _describe_allowed(message, "", schema)
    reason, key = match.groups()
    found = _value_at(raw, key)
    found_text = "" if found is None else f" (found {found!r})"
    return (
        f"{key}: {reason}{found_text}{_describe_allowed(reason, key, schema)}"
    )


def _describe_allowed(reason: str, key: str, schema: type) -> str:
    """Return the allowed values of a key if the reason lacks them."""
    expected_type = _type_at(key, schema)
    if "unknown field" in reason:
        names = msgspec.structs.fields(expected_type)
        allowed_values = sorted(field.name for field in names)
    elif "enum value" in reason:
        allowed_values = [member.value for member in expected_type]
    else:
        return ""
    return f"; allowed: {', '.join(allowed_values)}"


def _type_at(key: str, schema: type) -> type:
    """Return the type that the schema gives a dotted key."""
    found = schema
    dotted_path = key.replace(ANY_KEY, "")
    for part in dotted_path.split(".") if dotted_path else []:
        name, _, _ = part.partition("[")
        found = typing.get_type_hints(found)[name]
        while options := typing.get_args(found):
            # For a mapping, the last argument is the type of its values.
            found = [o for o in options if o is not type(None)][-1]
    return found


def _value_at(raw: dict, key: str):
    value = raw
    for part in key.split("."):
        if not isinstance(value, dict) or part not in value:
            return None
        value = value[part]
    return None if isinstance(value, dict) else value


def _check_addresses(path: str, raw: dict, prefix: str = "") -> None:
    for key, value in raw.items():
        name = f"{prefix}{key}"
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
