"""Sets of whole numbers as ranges, compact where few numbers are missing.

Pure. A set is a sorted list of disjoint ranges that don't touch each other,
each with its first and its last number.
"""

import bisect
import collections.abc

Range = tuple[int, int]


def contains(ranges: list[Range], number: int) -> bool:
    """Return whether a number is in a set."""
    return end_of(ranges, number) is not None


def end_of(ranges: list[Range], number: int) -> int | None:
    """Return the last number of the range with a number; None if none has."""
    at = bisect.bisect_right(ranges, number, key=_first) - 1
    if at < 0 or ranges[at][1] < number:
        return None
    return ranges[at][1]


def add(ranges: list[Range], number: int) -> bool:
    """Add a number to a set; return False if it was there."""
    at = bisect.bisect_right(ranges, number, key=_first)
    first = last = number
    begin = end = at
    if at > 0:
        before_first, before_last = ranges[at - 1]
        if number <= before_last:
            return False
        if before_last == number - 1:
            first, begin = before_first, at - 1
    if at < len(ranges) and ranges[at][0] == number + 1:
        last, end = ranges[at][1], at + 1
    ranges[begin:end] = [(first, last)]
    return True


def count(ranges: collections.abc.Iterable[Range]) -> int:
    """Return how many numbers are in a set."""
    return sum(last - first + 1 for first, last in ranges)


def normalized(
    ranges: collections.abc.Iterable[Range], size: int
) -> list[Range]:
    """Return the set of some ranges in any order that may overlap.

    :raises ValueError: a number is below 0, or not below ``size``
    """
    found: list[Range] = []
    for first, last in sorted(ranges):
        if not 0 <= first <= last < size:
            raise ValueError(f'range {first} to {last} of {size}')
        if found and first <= found[-1][1] + 1:
            found[-1] = (found[-1][0], max(last, found[-1][1]))
        else:
            found.append((first, last))
    return found


def _first(row: Range) -> int:
    return row[0]
