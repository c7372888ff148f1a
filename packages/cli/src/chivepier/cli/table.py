"""Plain tables."""

import json


def render_table(rows: list[dict], columns: tuple[str, ...]) -> str:
    """Align rows under their column names.

    >>> print(render_table([{"a": 1, "b": "x"}], ("a", "b")))
    A  B
    1  x

    :param rows: mappings; a missing column stays empty
    :param columns: which columns, in order
    :returns: lines of text
    """
    cells = [[name.upper() for name in columns]]
    cells += [[_render(row.get(name)) for name in columns] for row in rows]
    widths = [max(len(line[i]) for line in cells) for i in range(len(columns))]
    lines = [
        "  ".join(text.ljust(width) for text, width in zip(line, widths))
        for line in cells
    ]
    return "\n".join(line.rstrip() for line in lines)


def _render(value: object) -> str:
    match value:
        case None:
            return ""
        case bool():
            return "yes" if value else "no"
        case str() | int() | float():
            return str(value)
        case _:
            return json.dumps(value, separators=(",", ":"))
