"""Access to the faults that each stand-in can be told to show."""

import collections.abc
import dataclasses
import random
import time
import typing

import curio
import msgspec

from oleanderwood import codec
from oleanderwood import daemon
from oleanderwood import errors
from oleanderwood import http
from oleanderwood import http_server
from oleanderwood import ids

CONTROL_PATHS = ('/faults', '/log', '/healthz')
CONTROL_PREFIXES = ('/vms', '/fleet', '/counts')
"""Paths by which a run steers a stand-in; no fault concerns them."""

LOG_PAGE = 2000
"""Most log entries in one answer to ``GET /log``."""

HANG_POLL_S = 0.05
MAX_ORDER_BYTES = 4 << 20


class Faults(msgspec.Struct, kw_only=True, forbid_unknown_fields=True):
    """What goes wrong at the moment; the defaults are no fault.

    Shares lie between 0 and 1 and are drawn for each call from ``seed``.
    ``only`` limits all but ``lag_s`` and ``repeat_list`` to the calls
    whose method and path start with it, as in ``PUT /v1/keys/config``.
    """

    seed: int = 1
    only: str = ''
    delay_s: float = 0.0
    """Each call is answered this much later, before its effect."""

    reorder_s: float = 0.0
    """Each answer is held for a random time up to this, after its effect."""

    lose_answer: float = 0.0
    """Share of calls whose answer is dropped after the effect was made."""

    cut_answer: float = 0.0
    """Share of answers that are cut in the middle."""

    refuse: float = 0.0
    """Share of calls answered 503 without effect."""

    hang: bool = False
    """Calls wait without effect until the fault ends; then they are cut."""

    down: bool = False
    """Connections are closed unanswered, calls have no effect."""

    lag_s: float = 0.0
    """Age of the VM list and of the usage report."""

    repeat_list: bool = False
    """The VM list stays as it was when this was switched on."""

    fail_reboot: float = 0.0
    """Share of reboots after which the VM is unfit."""


@dataclasses.dataclass
class Control:
    """A stand-in's faults and its log."""

    faults: Faults = dataclasses.field(default_factory=Faults)
    rng: random.Random = dataclasses.field(
        default_factory=lambda: random.Random(1)
    )
    entries: list[dict[str, typing.Any]] = dataclasses.field(
        default_factory=list
    )


def record(control: Control, **entry: typing.Any) -> dict[str, typing.Any]:
    """Add an entry to the log and give it, for changes later on."""
    entry['at_s'] = time.monotonic()
    control.entries.append(entry)
    return entry


def strikes(control: Control, share: float) -> bool:
    """Draw whether a fault of a share comes about now."""
    return share > 0 and control.rng.random() < share


def faulty(control: Control, handler: http.Handler) -> http.Handler:
    """Wrap a handler: it shows the faults and serves the control paths."""

    async def handle(request: http.Request) -> http.Response:
        path = request.target.partition('?')[0]
        if path in CONTROL_PATHS:
            return await _control(control, request, path)
        if not _concerned(control.faults, request):
            return await handler(request)
        await _before(control)
        response = await handler(request)
        return await _after(control, response)

    return handle


def _concerned(faults: Faults, request: http.Request) -> bool:
    if request.target.startswith(CONTROL_PREFIXES):
        return False
    return f'{request.method} {request.target}'.startswith(faults.only)


async def _before(control: Control) -> None:
    faults = control.faults
    if faults.down:
        raise ConnectionResetError('down')
    if faults.hang:
        while control.faults.hang:
            await curio.sleep(HANG_POLL_S)
        raise ConnectionResetError('hung')
    if faults.delay_s:
        await curio.sleep(faults.delay_s)
    if strikes(control, faults.refuse):
        raise errors.BadMessage(503, 'refused by a fault')


async def _after(control: Control, response: http.Response) -> http.Response:
    faults = control.faults
    if faults.reorder_s:
        await curio.sleep(control.rng.uniform(0, faults.reorder_s))
    if strikes(control, faults.lose_answer):
        raise ConnectionResetError('answer dropped')
    if strikes(control, faults.cut_answer):
        return _cut(response)
    return response


def _cut(response: http.Response) -> http.Response:
    whole = response.body

    async def part() -> collections.abc.AsyncIterator[bytes]:
        if isinstance(whole, bytes):
            yield whole[: len(whole) // 2]
        else:
            async with curio.meta.finalize(whole) as pieces:
                async for piece in pieces:
                    yield piece[: len(piece) // 2]
                    break
        raise ConnectionResetError('answer cut')

    headers = list(response.headers)
    if isinstance(whole, bytes):
        headers.append((b'content-length', b'%d' % len(whole)))
    return http.Response(response.status, headers, part())


async def _control(
    control: Control, request: http.Request, path: str
) -> http.Response:
    if path == '/healthz':
        return http.Response(200, [], b'ok\n')
    if path == '/log':
        start = int(query(request).get('since', '0'))
        page = control.entries[start : start + LOG_PAGE]
        return daemon.json_response(
            200, {'entries': page, 'next': start + len(page)}
        )
    if request.method == 'POST':
        body = await http.read_all(request.body, MAX_ORDER_BYTES)
        control.faults = decode(body, Faults)
        control.rng = random.Random(control.faults.seed)
    return daemon.json_response(200, control.faults)


def query(request: http.Request) -> dict[str, str]:
    """Give a request's query as names and values."""
    pairs = request.target.partition('?')[2].split('&')
    return dict(
        (name, value)
        for name, _, value in (pair.partition('=') for pair in pairs)
    )


def decode(body: bytes, kind: type[codec.T]) -> codec.T:
    """Decode a JSON body.

    :raises errors.BadMessage: 400
    """
    try:
        return codec.from_json(body, kind)
    except msgspec.MsgspecError as error:
        raise errors.BadMessage(400, str(error)) from error


def say(line: str) -> None:
    """Print one line at once, for whoever started the stand-in."""
    print(line, flush=True)


async def serve(
    listen: ids.Address,
    control: Control,
    handler: http.Handler,
    observe: collections.abc.Callable[
        [http.Handler], http.Handler
    ] = lambda handler: handler,
) -> None:
    """Listen, print the bound address, and serve until a signal.

    :param observe: wraps the handler that shows the faults
    """
    server = http_server.listen(listen, observe(faulty(control, handler)))
    say(server.address)
    async with curio.TaskGroup(wait=any) as group:
        await group.spawn(http_server.run, server)
        await group.spawn(daemon.until_stopped)
