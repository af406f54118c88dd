"""Replies of the administration API as text for people."""

import datetime
import functools
import typing

from oleanderwood.operators import messages


@functools.singledispatch
def of(reply: typing.Any) -> str:
    """Tell a reply in lines."""
    return str(reply)


@of.register
def _status(reply: messages.StatusReply) -> str:
    jobs = ', '.join(f'{n} {state}' for state, n in sorted(reply.jobs.items()))
    lines = [
        f'{reply.server} leads, term {reply.term}',
        f'servers: {", ".join(reply.servers)}',
        f'configuration {reply.configuration_version}, policy {reply.policy}',
        f'jobs: {jobs or "none"}',
        '',
        _table(
            ('pool', 'machines', 'up', 'min up', 'cores busy', 'waiting'),
            [_pool(row) for row in reply.pools],
        ),
    ]
    for wave in reply.waves:
        lines += ['', _wave(wave)]
    return '\n'.join(lines)


@of.register
def _tenants(reply: messages.TenantsReply) -> str:
    head = ('tenant', 'weight', 'cores', 'memory MB', 'GPUs', 'waiting', '')
    return _table(head, [_tenant(row) for row in reply.tenants])


def _tenant(row: messages.TenantRow) -> tuple[str, ...]:
    waiting = str(row.waiting_jobs)
    if row.beyond_jobs:
        waiting += f' ({row.beyond_jobs} beyond its weight)'
    return (
        row.tenant,
        f'{row.weight:g}',
        f'{row.running_cores:.1f} of {_limit(row.limit_cores)}',
        f'{row.running_memory_mb} of {_limit(row.limit_memory_mb)}',
        f'{row.running_gpus} of {_limit(row.limit_gpus)}',
        waiting,
        'at its limit' if row.at_limit else '',
    )


def _limit(most: float) -> str:
    return f'{most:g}' if most else 'any'


def _pool(row: messages.PoolRow) -> tuple[str, ...]:
    name = f'{row.pool} (standby)' if row.standby else row.pool
    return (
        name,
        str(row.machines),
        str(row.up),
        str(row.min_up),
        f'{row.busy_cores:.1f} of {row.cores:.0f}',
        str(row.waiting_tasks),
    )


def _wave(row: messages.WaveRow) -> str:
    state = 'completed' if row.completed else 'running'
    lines = [
        f'wave {row.wave}: {state}, {row.begun} of {row.machines} begun, '
        f'{row.down} down'
    ]
    if not row.completed:
        if row.left_s < 0:
            lines[0] += f', {-row.left_s:.0f} s late'
        lines += [f'  {name}: {why}' for name, why in row.waits.items()]
    return '\n'.join(lines)


@of.register
def _job(reply: messages.JobReply) -> str:
    lines = [
        f'{reply.job}: {reply.state}, {reply.age_s:.1f} s old, queue '
        f'{reply.queue} in pool {reply.pool}'
    ]
    if reply.cause:
        lines.append(reply.cause)
    if reply.step_count > len(reply.steps):
        lines.append(f'{reply.steps_done} of {reply.step_count} steps done')
    rows = [
        (
            f'{row.occurrence}.{row.step}',
            str(row.tasks),
            str(row.done),
            str(len(row.running)),
            str(row.waiting),
            str(row.failed_runs),
        )
        for row in reply.steps
    ]
    head = ('step', 'tasks', 'done', 'running', 'waiting', 'failed runs')
    crashes = [line for row in reply.steps for line in _crashes(row)]
    return '\n'.join([*lines, _table(head, rows), *crashes])


def _crashes(row: messages.StepRow) -> list[str]:
    """Tell under which tasks of a step workers have crashed."""
    return [
        f'{name}: {count} workers crashed under it'
        + (', kept apart' if name in row.kept_apart else '')
        for name, count in row.crashes.items()
    ]


@of.register
def _policy(reply: messages.PolicyReply) -> str:
    if not reply.number:
        return '# nothing was applied yet'
    head = f'# number {reply.number} by {reply.author}, {_time(reply.at_ms)}'
    return f'{head}\n{reply.text.rstrip()}'


@of.register
def _history(reply: messages.HistoryReply) -> str:
    lines = []
    for row in reply.records:
        lines.append(f'{row.number} by {row.author}, {_time(row.at_ms)}')
        lines += [f'  {change}' for change in row.changes]
    return '\n'.join(lines) or 'nothing was applied yet'


@of.register
def _plan(reply: messages.PlanReply) -> str:
    lines = list(reply.changes) or ['no change']
    lines += [f'the platform has no {name} now' for name in reply.unknown]
    return '\n'.join([f'against number {reply.number}:', *lines])


@of.register
def _applied(reply: messages.ApplyReply) -> str:
    return '\n'.join([f'number {reply.number} is in force', *reply.changes])


def error(reply: messages.ErrorReply) -> str:
    """Tell a refusal in lines."""
    lines = [f'{reply.error.value}: {reply.message}', *reply.details]
    return '\n'.join(lines)


def _time(at_ms: float) -> str:
    moment = datetime.datetime.fromtimestamp(at_ms / 1000, datetime.UTC)
    return moment.strftime('%Y-%m-%d %H:%M:%S UTC')


def _table(head: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
    """Lay rows out in columns."""
    widths = [
        max(len(row[column]) for row in (head, *rows))
        for column in range(len(head))
    ]
    lines = []
    for row in (head, *rows):
        cells = [
            cell.ljust(width) for cell, width in zip(row, widths, strict=True)
        ]
        lines.append('  '.join(cells).rstrip())
    return '\n'.join(lines)
