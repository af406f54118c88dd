"""Time ranges within a day (UTC), as written in a policy file."""

import dataclasses
import re

DAY_S = 86_400

_HOURS = re.compile(r'^([01]\d|2[0-3]):([0-5]\d)-([01]\d|2[0-3]):([0-5]\d)$')


@dataclasses.dataclass(frozen=True)
class Hours:
    """A daily time range in seconds after midnight; it may span midnight."""

    start_s: int
    end_s: int


def read(text: str) -> Hours | None:
    """Parse a range as in ``05:00-07:30``; return None if malformed."""
    match = _HOURS.match(text)
    if match is None:
        return None
    first_h, first_m, last_h, last_m = (int(g) for g in match.groups())
    return Hours(
        first_h * 3600 + first_m * 60,
        last_h * 3600 + last_m * 60,
    )


def left_s(hours: Hours, wall_s: float) -> float:
    """Return the time until the range ends, in seconds; 0 outside of it.

    :param wall_s: seconds since 1970
    """
    length_s = (hours.end_s - hours.start_s) % DAY_S
    since_s = (wall_s % DAY_S - hours.start_s) % DAY_S
    return max(0.0, length_s - since_s)
