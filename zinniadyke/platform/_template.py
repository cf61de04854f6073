"""Renders a settings template as the platform does, to check it."""

import json
import re

from zinniadyke import errors

# A placeholder, or the start or end of a section.
TAG = re.compile(r"\{\{([#^/]?)([A-Za-z0-9_.@,]+)(\|json)?\}\}")
ITEM, KEY, COMMA = ".", "@", ","
Scope = list[dict]


def render_template(text: str, fields: dict) -> str:
    """Render a template with the values of ``fields``.

    Raises
    ------
    SettingsError
        A section is not closed, or is closed without being open.
    """
    rendered, rest = _render(TAG.split(text), [fields], None)
    if rest:
        raise errors.SettingsError(f"section {rest[2]!r} is not open")
    return rendered


def _render(
    parts: list, scopes: Scope, section: str | None
) -> tuple[str, list]:
    """Render up to the end of a section; also return the parts after it.

    ``parts`` repeats text, section mark, name and filter, and ends with text.
    """
    output = [parts[0]]
    parts = parts[1:]
    while parts:
        section_mark, name, filtered, text, *rest = parts
        if section_mark == "/":
            if name != section:
                return "".join(output), ["", section_mark, name]
            return "".join(output), [text, *rest]
        if section_mark:
            inner, parts = _render_section(
                [text, *rest], scopes, section_mark, name
            )
            output += [inner, parts[0]]
            parts = parts[1:]
            continue
        output += [_format_value(_look_up(scopes, name), filtered), text]
        parts = rest
    if section is not None:
        raise errors.SettingsError(f"section {section!r} is not closed")
    return "".join(output), []


def _render_section(
    parts: list, scopes: Scope, section_mark: str, name: str
) -> tuple[str, list]:
    value = _look_up(scopes, name)
    absent = value is None or value is False
    if section_mark == "^":
        inner, rest = _render(parts, scopes, name)
        return (inner if absent else ""), rest
    _, rest = _render(parts, scopes, name)
    rendered = []
    pairs = [] if absent else _key_value_pairs(value)
    for number, (key, item) in enumerate(pairs, 1):
        scope = dict(item) if isinstance(item, dict) else {}
        scope |= {ITEM: item, KEY: key}
        scope[COMMA] = "," if number < len(pairs) else ""
        inner, _ = _render(parts, [*scopes, scope], name)
        rendered.append(inner)
    return "".join(rendered), rest


def _key_value_pairs(value) -> list[tuple[object, object]]:
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
                index = int(part)
                value = value[index] if index < len(value) else None
            else:
                value = value.get(part) if isinstance(value, dict) else None
            if value is None:
                break
        else:
            return value
    return scopes[0] if name == ITEM else None


def _format_value(value, filtered: str | None) -> str:
    if filtered:
        return json.dumps(value)
    if value is None:
        return ""
    if isinstance(value, bool):
        return str(value).lower()
    if isinstance(value, list):
        return ",".join(_format_value(v, None) for v in value)
    return json.dumps(value) if isinstance(value, dict) else str(value)
