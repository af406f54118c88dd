"""The platform's machines: the list, and the orders to move and maintain."""

import dataclasses
import enum
import urllib.parse

import msgspec

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.maintenance import fleet
from oleanderwood.platform import executors
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts
from oleanderwood.web import connections

TIMEOUT_S = 2.0
"""Longest wait for an answer; a calm one takes milliseconds."""


class Outcome(enum.Enum):
    """How an order for a machine was answered."""

    DONE = 'done'
    FENCED = 'fence'
    BUSY = 'busy'
    """It isn't up, or it is leaving."""

    NOT_OF_WAVE = 'wave'
    INVALID = 'invalid'
    """No such machine, or not a pool for it."""


@dataclasses.dataclass
class Machines:
    """Calls to the machines' interface under one name."""

    address: ids.Address
    holder: str
    kept: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )


class _WireMachine(msgspec.Struct):
    machine: str
    pool: str
    state: str
    zone: str = ''
    labels: list[str] = []
    capacity: executors.WireCapacity = msgspec.field(
        default_factory=executors.WireCapacity
    )
    id: str | None = None


class _WireList(msgspec.Struct):
    machines: list[_WireMachine] = []
    next_token: str | int | None = None


class _WireReason(msgspec.Struct):
    reason: str = ''


async def read_all(calls: Machines) -> list[fleet.Machine]:
    """Read the list of machines, page after page.

    :raises errors.CallFailed: no answer, or calls are over their rate
    """
    machines: list[fleet.Machine] = []
    token = None
    while True:
        target = '/machines'
        if token is not None:
            target += '?' + urllib.parse.urlencode({'page_token': token})
        answer = await transport.call(
            calls.kept, calls.address, 'GET', target, timeout_s=TIMEOUT_S
        )
        if answer.status != 200:
            raise transport.refused(answer, 'machines')
        page = transport.decoded(answer, _WireList)
        try:
            machines += [_machine(wire) for wire in page.machines]
        except ValueError as error:
            raise transport.not_understood(error) from error
        token = page.next_token
        if token is None:
            return machines


def _machine(wire: _WireMachine) -> fleet.Machine:
    return fleet.Machine(
        machine=wire.machine,
        pool=ids.PoolId(wire.pool),
        state=fleet.State(wire.state),
        data_centre=ids.DataCentre(wire.zone),
        labels=tuple(wire.labels),
        capacity=executors.decode_capacity(wire.capacity),
        worker=ids.ExecutorId(wire.id or ''),
    )


async def move(calls: Machines, machine: str, pool: str, term: int) -> Outcome:
    """Move a machine to another pool; whatever runs there ends.

    :raises errors.CallFailed: with the verdict
    """
    body = {'machine': machine, 'pool': pool}
    return await _order(calls, '/machine-move', body, term)


async def maintain(
    calls: Machines, machine: str, wave: int, term: int
) -> Outcome:
    """Take a machine down for its maintenance; whatever runs there ends.

    :raises errors.CallFailed: with the verdict
    """
    body = {'machine': machine, 'wave': wave}
    return await _order(calls, '/machine-upkeep', body, term)


async def _order(
    calls: Machines, target: str, body: dict, term: int
) -> Outcome:
    answer = await transport.call(
        calls.kept,
        calls.address,
        'POST',
        target,
        msgspec.json.encode(body),
        [
            (b'duty-holder', calls.holder.encode('ascii')),
            (b'fencing-token', b'%d' % term),
        ],
        timeout_s=TIMEOUT_S,
    )
    if answer.status == 200:
        return Outcome.DONE
    if answer.status == 409:
        reason = transport.decoded(answer, _WireReason).reason
        return Outcome(reason)
    if answer.status == 400:
        return Outcome.INVALID
    if answer.status == 429:
        raise transport.refused(answer, target)
    # Unlike for the store, no other status says that nothing was done.
    raise errors.CallFailed(
        verdicts.Verdict.MAY_HAVE_RUN, f'{target}: status {answer.status}'
    )
