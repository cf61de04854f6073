"""Fills in a settings template as the platform does, to check it."""

import json
import re

from zinniadyke import errors

# A placeholder, or the begin or end of a section.
TAG = re.compile(r"\{\{([#^/]?)([A-Za-z0-9_.@,]+)(\|json)?\}\}")
ENTRY, KEY, COMMA = ".", "@", ","
Scope = list[dict]


def render_template(text: str, fields: dict) -> str:
    """Return the text with its placeholders filled in from ``fields``.

    Raises
    ------
    SettingsError
        A section is not closed, or closed without being open.
    """
    rendered, rest = _render(TAG.split(text), [fields], None)
    if rest:
        raise errors.SettingsError(f"section {rest[2]!r} is not open")
    return rendered


def _render(
    parts: list, scopes: Scope, section: str | None
) -> tuple[str, list]:
    """Render up to the end of a section; return what follows it.

    ``parts`` are text, mark, name, filter, text and so on.
    """
    found = [parts[0]]
    parts = parts[1:]
    while parts:
        mark, name, filtered, text, *rest = parts
        if mark == "/":
            if name != section:
                return "".join(found), ["", mark, name]
            return "".join(found), [text, *rest]
        if mark:
            inside, parts = _section([text, *rest], scopes, mark, name)
            found += [inside, parts[0]]
            parts = parts[1:]
            continue
        found += [_value(_look_up(scopes, name), filtered), text]
        parts = rest
    if section is not None:
        raise errors.SettingsError(f"section {section!r} is not closed")
    return "".join(found), []


def _section(
    parts: list, scopes: Scope, mark: str, name: str
) -> tuple[str, list]:
    value = _look_up(scopes, name)
    absent = value is None or value is False
    if mark == "^":
        inside, rest = _render(parts, scopes, name)
        return (inside if absent else ""), rest
    _, rest = _render(parts, scopes, name)
    rendered = []
    entries = [] if absent else _entries(value)
    for number, (key, entry) in enumerate(entries, 1):
        scope = dict(entry) if isinstance(entry, dict) else {}
        scope |= {ENTRY: entry, KEY: key}
        scope[COMMA] = "," if number < len(entries) else ""
        inside, _ = _render(parts, [*scopes, scope], name)
        rendered.append(inside)
    return "".join(rendered), rest


def _entries(value) -> list[tuple[object, object]]:
    if isinstance(value, dict):
        return list(value.items())
    if isinstance(value, list):
        return list(enumerate(value))
    return [("", value)]


def _look_up(scopes: Scope, name: str):
    for scope in reversed(scopes):
        if name in scope:
            return scope[name]
        value = scope
        for part in name.split("."):
            if isinstance(value, list) and part.isdigit():
                place = int(part)
                value = value[place] if place < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                break
        else:
            return value
    return scopes[0] if name == ENTRY else None


def _value(value, filtered: str | None) -> str:
    if filtered:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(_value(v, None) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)
