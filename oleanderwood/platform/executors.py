"""The platform's executors: their entries in the store, and the calls."""

import dataclasses
import enum

import typing

import msgspec

from oleanderwood import errors
from oleanderwood import ids
from oleanderwood.jobs import model
from oleanderwood.platform import transport
from oleanderwood.pools import incarnations
from oleanderwood.pools import reports
from oleanderwood.web import connections

PREFIX = 'servers/'
"""Prefix of the executors' entries in the store."""

ORDER_TIMEOUT_S = 0.8
"""Longest wait for the answer to an order; a calm one takes 2 ms, and on a
machine of ours that is slowed down five times as long."""


MOST_ENDS = 500
"""Ends that an executor lists at once, the oldest first."""


class Refusal(enum.Enum):
    """Why an executor didn't start a task. In all cases nothing ran."""

    FENCED = 'fence'
    """It has seen a higher fence."""

    OUTDATED = 'old'
    """A run as high was stopped or has ended there."""

    LATE = 'late'
    """The lease that the start carried is over."""

    NO_ROOM = 'room'
    NO_TICKET = 'ticket'
    UNHEALTHY = 'unhealthy'
    """429 or 503: it can't serve now."""

    REPLACED = 'replaced'
    """Another executor listens at this address."""

    INVALID = 'invalid'


@dataclasses.dataclass
class Executors:
    """Calls to executors.

    :ivar timeout_s: longest wait for the answer to an order
    """

    timeout_s: float = ORDER_TIMEOUT_S
    kept: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )


class Replaced(errors.OleanderError):
    """Another executor listens at the address: the one meant is gone."""


class Fenced(errors.OleanderError):
    """The executor has seen a higher fence; it did nothing."""


class WireCapacity(msgspec.Struct):
    """What a machine has, as both its executor and the list tell it."""

    cpu: int = 0
    mem_mb: int = 0
    gpu: int = 0


def decode_capacity(wire: WireCapacity) -> model.Resources:
    """Decode what a machine has; ``cpu`` is in thousandths of a core."""
    return model.Resources(wire.cpu, wire.mem_mb, wire.gpu)


Born = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""When an executor was born, in milliseconds since 1970. It becomes part of
the worker's name, in logs and in the stored list of its pool."""


class _WireAnswer(msgspec.Struct):
    clock_ms: float = 0
    reason: str = ''


class _WireRun(msgspec.Struct, array_like=True):
    # The fifth is the latency of a task that serves, and the processor time
    # in use of any other.
    task: str
    attempt: int
    saved: str | None
    percent: float
    latency_or_cpu: float = 0


class _WireEnd(msgspec.Struct, array_like=True):
    number: int
    task: str
    attempt: int
    how: str
    saved: str | None


class _WireReport(msgspec.Struct):
    clock_ms: float = 0
    born: Born | msgspec.UnsetType = msgspec.UNSET
    reason: str = ''
    running: list[_WireRun] = []
    finished: list[_WireEnd] = []


_ENDS = {
    'done': reports.How.DONE,
    'failed': reports.How.FAILED,
    'stopped': reports.How.STOPPED,
    'lapsed': reports.How.LAPSED,
    'broken': reports.How.BROKEN,
    'alone': reports.How.ALONE,
}


async def start(
    calls: Executors, at: reports.Entry, order: reports.Start
) -> Refusal | None:
    """Order a start; gives None if it runs, else why it doesn't.

    :raises errors.CallFailed: with the verdict; the order may yet be
        carried out unless it is ``NOT_RUN``
    """
    body: dict = {
        'task': order.task,
        'attempt': order.attempt,
        'spec': order.text,
        'deadline_ms': int(order.lease_end_clock_ms),
        'fence': order.fence,
    }
    if order.checkpoint:
        body['checkpoint'] = order.checkpoint
    if order.ticket:
        body['ticket'] = order.ticket
    answer = await _call(calls, at, '/run-start', body)
    if answer.status == 200:
        return None
    if answer.status == 421:
        return Refusal.REPLACED
    if answer.status in (429, 503):
        return Refusal.UNHEALTHY
    if answer.status == 409:
        return _refusal(answer)
    if answer.status == 400:
        return Refusal.INVALID
    raise transport.refused(answer, 'start')


def _refusal(answer: transport.Answer) -> Refusal:
    """Decode why an executor refused a start.

    :raises errors.CallFailed: whoever answered isn't understood
    """
    reason = transport.decoded(answer, _WireAnswer).reason
    try:
        return Refusal(reason)
    except ValueError as error:
        raise transport.not_understood(error) from error


async def stop(
    calls: Executors,
    at: reports.Entry,
    task: str,
    attempt: int,
    fence: ids.Fence,
) -> None:
    """Stop a run; one that isn't there yet will be refused there.

    :raises Replaced: the executor is gone
    :raises Fenced: it has seen a higher fence
    :raises errors.CallFailed: with the verdict
    """
    body = {'task': task, 'attempt': attempt, 'fence': fence}
    _checked(await _call(calls, at, '/run-stop', body), 'stop')


async def pace(
    calls: Executors,
    at: reports.Entry,
    task: str,
    attempt: int,
    percent: int,
    fence: ids.Fence,
) -> None:
    """Let a run work at a share of its speed, in percent.

    :raises Replaced: the executor is gone
    :raises Fenced: it has seen a higher fence
    :raises errors.CallFailed: with the verdict
    """
    body = {
        'task': task,
        'attempt': attempt,
        'percent': percent,
        'fence': fence,
    }
    _checked(await _call(calls, at, '/pace', body), 'pace')


async def renew(
    calls: Executors, at: reports.Entry, order: reports.Renewal
) -> reports.Report:
    """Renew the lease of all that runs, and read what runs and has ended.

    ``last_seen`` on the wire acknowledges ends, for good.

    :raises Replaced: the executor is gone
    :raises Fenced: it has seen a higher fence
    :raises errors.CallFailed: with the verdict
    """
    body: dict = {'fence': order.fence, 'last_seen': order.acknowledged}
    if order.lease_end_clock_ms is not None:
        body['deadline_ms'] = int(order.lease_end_clock_ms)
    if order.longest_wait_ms:
        body['wait_ms'] = order.longest_wait_ms
    answer = await _call(
        calls, at, '/hold', body, order.longest_wait_ms / 1000
    )
    return _report(_checked(answer, 'renewal'), at.worker)


def _report(answer: transport.Answer, meant: ids.VmId) -> reports.Report:
    """Decode a report.

    :param meant: the life that was called; another may have answered
    """
    wire = transport.decoded(answer, _WireReport)
    worker = meant
    if wire.born is not msgspec.UNSET:
        worker = incarnations.incarnation_name(
            incarnations.executor_of(meant), wire.born
        )
    running = [
        reports.Running(
            task=row.task,
            attempt=row.attempt,
            checkpoint=row.saved or '',
            percent=row.percent,
            latency_or_cpu=row.latency_or_cpu,
        )
        for row in wire.running
    ]
    try:
        ended = [
            reports.Ended(
                row.number,
                row.task,
                row.attempt,
                _ENDS[row.how],
                row.saved or '',
            )
            for row in wire.finished
        ]
    except KeyError as error:
        raise transport.not_understood(error) from error
    whole = len(ended) < MOST_ENDS
    return reports.Report(wire.clock_ms, running, ended, whole, worker)


def _checked(answer: transport.Answer, what: str) -> transport.Answer:
    if answer.status == 200:
        return answer
    if answer.status == 421:
        raise Replaced(what)
    if answer.status == 409:
        if (
            transport.decoded(answer, _WireAnswer).reason
            == Refusal.FENCED.value
        ):
            raise Fenced(what)
    raise transport.refused(answer, what)


async def _call(
    calls: Executors,
    at: reports.Entry,
    target: str,
    body: dict,
    wait_s: float = 0.0,
) -> transport.Answer:
    return await transport.call(
        calls.kept,
        at.address,
        'POST',
        target,
        msgspec.json.encode(body),
        [
            (
                b'expect-instance',
                incarnations.executor_of(at.worker).encode('ascii'),
            )
        ],
        timeout_s=calls.timeout_s + wait_s,
    )
