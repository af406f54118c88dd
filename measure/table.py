"""Access to the rows that each measurement gives, and to their printing."""

import collections.abc
import statistics

import msgspec


class Figure(msgspec.Struct, frozen=True):
    """One figure over all seeds; ``low`` and ``high`` are the extremes.

    ``goal`` is what was aimed at, '' for none; ``met`` says whether the
    figure meets it.
    """

    name: str
    median: float
    low: float
    high: float
    goal: str = ''
    met: bool | None = None


class Row(msgspec.Struct, frozen=True):
    """What one way of deciding costs on inputs of one size.

    ``decision`` names the table (``waves``, ``buffer``, ...); ``way`` is
    ``this version``, a baseline or a bound.
    """

    decision: str
    size: str
    way: str
    seeds: int
    figures: tuple[Figure, ...]


def figure(
    name: str,
    values: collections.abc.Sequence[float],
    goal: str = '',
    met: bool | None = None,
) -> Figure:
    """Sum up one figure's values, one for each seed."""
    middle = statistics.median(values)
    return Figure(name, middle, min(values), max(values), goal, met)


def text(rows: collections.abc.Sequence[Row]) -> str:
    """Print rows as one table for each decision."""
    lines = []
    for decision in dict.fromkeys(row.decision for row in rows):
        chosen = [row for row in rows if row.decision == decision]
        lines += [f'== {decision}', *_lines(chosen), '']
    return '\n'.join(lines)


def _lines(rows: collections.abc.Sequence[Row]) -> list[str]:
    lines = []
    for row in rows:
        lines.append(f'{row.size}, {row.way} ({row.seeds} seeds)')
        for item in row.figures:
            line = (
                f'    {item.name:<38} {item.median:>10.3f}'
                f'   [{item.low:.3f} .. {item.high:.3f}]'
            )
            if item.goal:
                verdict = 'met' if item.met else 'NOT MET'
                line += f'   goal {item.goal}: {verdict}'
            lines.append(line)
    return lines
