"""Access to counts of the calls that reach a stand-in, by kind and time.

A call counts when its request is read, whatever becomes of it: also while
a fault drops all answers.
"""

import collections
import collections.abc
import dataclasses
import time

import msgspec

from oleanderwood import http

BIN_S = 0.1


class Bin(msgspec.Struct):
    """The calls of one kind that came within ``BIN_S``.

    :ivar at_s: monotonic time at which it starts
    :ivar size_bytes: of the bodies of requests and answers, by the time
        of the answer
    :ivar waiting: most calls of this kind in progress at a time; 0 in a bin
        in which none came or ended
    """

    at_s: float
    kind: str
    calls: int = 0
    size_bytes: int = 0
    waiting: int = 0


@dataclasses.dataclass
class Tally:
    """The bins so far, and the calls in progress by kind."""

    clock: collections.abc.Callable[[], float] = time.monotonic
    bins: dict[tuple[int, str], Bin] = dataclasses.field(default_factory=dict)
    waiting: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )


def observed(
    tally: Tally,
    kind_of: collections.abc.Callable[[http.Request], str],
    handler: http.Handler,
) -> http.Handler:
    """Wrap a handler: its calls are counted.

    :param kind_of: names a request's kind, '' for one that isn't counted
    """

    async def handle(request: http.Request) -> http.Response:
        kind = kind_of(request)
        if not kind:
            return await handler(request)
        tally.waiting[kind] += 1
        found = _bin(tally, kind)
        found.calls += 1
        found.size_bytes += int(request.header('content-length') or 0)
        try:
            response = await handler(request)
        finally:
            found = _bin(tally, kind)
            tally.waiting[kind] -= 1
        if isinstance(response.body, bytes):
            found.size_bytes += len(response.body)
        return response

    return handle


def _bin(tally: Tally, kind: str) -> Bin:
    number = int(tally.clock() / BIN_S)
    found = tally.bins.setdefault((number, kind), Bin(number * BIN_S, kind))
    found.waiting = max(found.waiting, tally.waiting[kind])
    return found
