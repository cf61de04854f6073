"""Formats rows as a text table."""

from zinniadyke.language import _rows


def format_table(rows: list[_rows.Row]) -> str:
    """Return rows as aligned columns with a header."""
    if not rows:
        return "(none)\n"
    names = list(rows[0])
    cells = [names] + [[_cell(row.get(n)) for n in names] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(names))]
    lines = [
        "  ".join(text.ljust(w) for text, w in zip(line, widths, strict=True))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines) + "\n"


def _cell(value: object) -> str:
    if isinstance(value, bool):
        return "yes" if value else "no"
    if isinstance(value, float):
        return f"{value:.3f}".rstrip("0").rstrip(".")
    if isinstance(value, list | dict):
        return ",".join(str(v) for v in value) or "-"
    return str(value) if value not in ("", None) else "-"
