"""Renders objects as declarations that can be applied again."""

import enum
import json
import re

import msgspec

from zinniadyke import objects

PLAIN_WORD = re.compile(r"[A-Za-z_][A-Za-z0-9_.\-]*")


def render_object(key: objects.ObjectKey, value: msgspec.Struct) -> str:
    """Return the declaration of an object, omitting default values."""
    scope = f" of {key.scope}" if key.scope else ""
    lines = [f"{key.kind} {key.name}{scope} {{"]
    for field in msgspec.structs.fields(value):
        item = getattr(value, field.name)
        if item == _default_value(field):
            continue
        lines.append(f"  {field.name} = {_render(item)}")
    lines.append("}")
    return "\n".join(lines) + "\n"


def _default_value(field: msgspec.structs.FieldInfo):
    if field.default is not msgspec.NODEFAULT:
        return field.default
    if field.default_factory is not msgspec.NODEFAULT:
        return field.default_factory()
    return msgspec.NODEFAULT


def _render(item) -> str:
    if isinstance(item, bool):
        return "true" if item else "false"
    if isinstance(item, enum.Enum):
        return _render(item.value)
    if isinstance(item, list):
        return "[" + ", ".join(_render(i) for i in item) + "]"
    if isinstance(item, dict):
        pairs = (f"{_quote(k)}: {_render(v)}" for k, v in item.items())
        return "{" + ", ".join(pairs) + "}"
    if isinstance(item, str):
        return item if PLAIN_WORD.fullmatch(item) else _quote(item)
    return str(item)


def _quote(text: str) -> str:
    return json.dumps(text, ensure_ascii=False)
