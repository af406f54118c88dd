"""Access to the command line's output for people: pure formatting."""

import datetime
import typing

from oleanderwood import admin_messages
from oleanderwood import apply
from oleanderwood import difference
from oleanderwood import history
from oleanderwood import wave_state

MAX_MOVES = 40
"""Moves that a plan shows one by one; JSON has them all."""


def of(reply: typing.Any) -> str:
    """Give the text of any reply.

    :raises KeyError: a type that has no text
    """
    return _TEXTS[type(reply)](reply)


def _time(seconds: float) -> str:
    if not seconds:
        return '-'
    moment = datetime.datetime.fromtimestamp(seconds, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')


def _valid(reply: admin_messages.ValidateReply) -> str:
    return f'sound; {reply.changes} changes against {reply.revision}'


def _change(change: difference.Change) -> list[str]:
    sign = {
        difference.Kind.ADDED: '+',
        difference.Kind.REMOVED: '-',
        difference.Kind.CHANGED: '~',
    }[change.kind]
    lines = [f'{sign} {change.section} {change.name}'.rstrip()]
    for field in change.fields:
        lines.append(f'    {field.field}: {field.before} -> {field.after}')
    return lines


def _changes(changes: tuple[difference.Change, ...]) -> list[str]:
    return [line for change in changes for line in _change(change)]


def _diff(reply: admin_messages.DiffReply) -> str:
    lines = [f'against revision {reply.revision}:']
    return '\n'.join(lines + (_changes(reply.changes) or ['no change']))


def _plan(reply: admin_messages.PlanReply) -> str:
    plan = reply.plan
    lines = [f'against revision {reply.revision}:']
    lines += _changes(plan.changes) or ['no change']
    lines += [f'{len(plan.moves)} VMs would move']
    for pool in plan.pools:
        lines.append(f'  pool {pool.pool}: {pool.have} -> {pool.want} VMs')
    for move in plan.moves[:MAX_MOVES]:
        lines.append(
            f'  {move.vm} ({move.data_centre}): {move.from_pool} -> '
            f'{move.to_pool}: {move.reason}'
        )
    if len(plan.moves) > MAX_MOVES:
        lines.append(f'  and {len(plan.moves) - MAX_MOVES} more')
    return '\n'.join(lines)


def _applied(reply: apply.Applied) -> str:
    if reply.revision == reply.base:
        return f'revision {reply.revision}: {reply.reason}'
    lines = [
        f'revision {reply.revision} is accepted (operation {reply.operation})'
    ]
    if reply.missing:
        lines.append(f'not yet in force at {", ".join(reply.missing)}')
    elif reply.reason:
        lines.append(reply.reason)
    else:
        lines.append(f'in force everywhere after {reply.in_force_s:.2f} s')
    return '\n'.join(lines)


def _status(reply: admin_messages.StatusReply) -> str:
    lines = [
        f'revision {reply.revision} of {reply.author or "unknown"}, '
        f'{_time(reply.accepted_at_s)}'
    ]
    for member in reply.members:
        state = f'revision {member.revision}'
        if member.revision is None:
            state = f'no answer: {member.reason}'
        lines.append(f'  {member.entry} ({member.data_centre}): {state}')
    for waves in reply.waves:
        lines += [_wave(waves.region, wave) for wave in waves.waves]
    if reply.operation is not None:
        lines.append(_operation(reply.operation))
    return '\n'.join(lines)


def _operation(status: admin_messages.OperationStatus) -> str:
    start = f'operation {status.operation}: '
    match status.outcome:
        case history.Outcome.ACCEPTED:
            return start + f'accepted as revision {status.revision}'
        case history.Outcome.REFUSED:
            return start + 'not accepted, and never will be'
        case history.Outcome.STAGED:
            return start + 'not accepted so far; it still may be'
    return start + 'not known: never begun, withdrawn, or long ago'


def _wave(region: str, wave: wave_state.Wave) -> str:
    text = (
        f'  wave {wave.wave} in {region}: {wave.state.value}, '
        f'{wave.done} of {wave.total} VMs, since {_time(wave.changed_at_s)}'
    )
    return f'{text}: {wave.reason}' if wave.reason else text


def _waves(reply: admin_messages.WaveReply) -> str:
    return '\n'.join(_wave(r.region, r.wave) for r in reply.regions)


def _history(reply: admin_messages.HistoryReply) -> str:
    lines = []
    for record in reply.records:
        lines.append(
            f'{record.outcome.value:8} {record.revision:6} on {record.base} '
            f'{_time(record.staged_at_s)} {record.author or "unknown"} '
            f'{record.operation}: {record.changes}'
        )
    return '\n'.join(lines) or 'no apply yet'


def error(reply: admin_messages.ErrorReply) -> str:
    """Give the text of a refusal, each fault on a line of its own."""
    lines = [f'{reply.error.value}: {reply.message}']
    for fault in reply.faults:
        lines.append(f'  {fault.path}: {fault.reason}; {fault.remedy}')
    return '\n'.join(lines)


_TEXTS: dict[type, typing.Callable[[typing.Any], str]] = {
    admin_messages.ValidateReply: _valid,
    admin_messages.DiffReply: _diff,
    admin_messages.PlanReply: _plan,
    apply.Applied: _applied,
    admin_messages.StatusReply: _status,
    admin_messages.WaveReply: _waves,
    admin_messages.HistoryReply: _history,
}
