"""Access to which configuration an entry follows, as callers see it.

One service that no caller uses gets a new route with each change. An entry
that knows the route follows that change; others answer 404.
"""

import collections.abc
import dataclasses
import itertools
import re
import time

from demo import evidence
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import http_client
from oleanderwood import ids

PREFIX = '/marker-'
LOOK_BACK = 4
LOOK_TIMEOUT_S = 1.0
PART_PREFIX = 'config/parts/'
OK = 200
NOT_FOUND = 404


@dataclasses.dataclass
class Markers:
    """The numbers given out; each stands for one change.

    :ivar team: for whom entries are asked
    """

    team: str = ''
    numbers: collections.abc.Iterator[int] = dataclasses.field(
        default_factory=lambda: itertools.count(1)
    )
    newest: int = 0


@dataclasses.dataclass(frozen=True)
class Sighting:
    """The route that an entry was seen to know."""

    start_s: float
    end_s: float
    entry: str
    number: int


def service(whole: configuration.Configuration) -> str:
    """Name the service whose route is the marker: the last idempotent."""
    return [s.name for s in whole.services if s.idempotent][-1]


def route(number: int) -> str:
    """Give the route of a change; none is the beginning of another."""
    return f'{PREFIX}{number:05}'


def mark(
    text: str, whole: configuration.Configuration, markers: Markers
) -> str:
    """Give an operators' file with the marker's next route."""
    markers.newest = next(markers.numbers)
    name = re.escape(service(whole))
    pattern = rf"(name = '{name}'\npath_prefix = )'[^']*'"
    marked, count = re.subn(
        pattern, rf"\g<1>'{route(markers.newest)}'", text, count=1
    )
    if not count:
        raise ValueError(f'no service {name} in the file')
    return marked


async def look(
    markers: Markers, entry: str, address: ids.Address
) -> Sighting | None:
    """Find the newest route that an entry knows, None if it can't tell."""
    start_s = time.monotonic()
    oldest = max(0, markers.newest - LOOK_BACK)
    for number in range(markers.newest, oldest, -1):
        try:
            answer = await http_client.call(
                address,
                'GET',
                f'{route(number)}/look',
                timeout_s=LOOK_TIMEOUT_S,
                headers=[(b'oleander-team', markers.team.encode())],
            )
        except errors.CallFailed:
            return None
        if answer.status == OK:
            return Sighting(start_s, time.monotonic(), entry, number)
        if answer.status != NOT_FOUND:
            return None
    return None


def revisions(
    sightings: list[Sighting], writes: list[evidence.StoreWrite]
) -> list[evidence.Probe]:
    """Name the revisions that were followed."""
    of_number = accepted(writes)
    return [
        evidence.Probe(
            seen.start_s, seen.end_s, seen.entry, of_number[seen.number]
        )
        for seen in sightings
        if seen.number in of_number
    ]


def accepted(writes: list[evidence.StoreWrite]) -> dict[int, int]:
    """Give the revision by which each marker's number came in force."""
    parts = {
        write.key.removeprefix(PART_PREFIX): write
        for write in writes
        if write.key.startswith(PART_PREFIX) and write.value is not None
    }
    found: dict[int, int] = {}
    for write in writes:
        if write.key != evidence.HEAD_KEY or write.value is None:
            continue
        head = evidence.body_of(write)
        for reference in head['parts'].values():
            number = _number(parts.get(reference))
            if number is not None:
                found.setdefault(number, head['revision'])
    return found


def _number(part: evidence.StoreWrite | None) -> int | None:
    if part is None:
        return None
    items = evidence.body_of(part)
    for item in items if isinstance(items, list) else ():
        path = item.get('path_prefix', '')
        if path.startswith(PREFIX):
            return int(path.removeprefix(PREFIX))
    return None
