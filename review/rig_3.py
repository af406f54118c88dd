"""A small deployment on loopback for the cases of the third review.

It starts the servers as processes, with the command of the deploy file, and
the project's own stand-ins of the store, the machines and their executors in
this process (package ``soak``). Everything that a caller sends and is told,
and everything that an executor begins and ends, is written to a record.
"""

import collections.abc
import contextlib
import dataclasses
import json
import os
import pathlib
import sys
import tempfile
import traceback

import curio

from emulator import callers as callers_
from emulator import day
from emulator import evidence as evidences
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood.platform import transport
from oleanderwood.web import connections
from soak import processes
from soak import world as worlds

HELD = 0
BROKEN = 1
CANNOT_RUN = 2

LEAD_S = 5.0
"""Time that the servers get before the first call."""

CALL_TIMEOUT_S = 3.0
"""Time for which a client waits for an answer, as on our pages."""

SHOWN_KINDS = (
    evidences.Kind.STARTED,
    evidences.Kind.ENDED,
    evidences.Kind.NOTED,
    evidences.Kind.LAPSED,
    evidences.Kind.DIED,
)


class CannotRunError(Exception):
    """The case couldn't be set up, so it says nothing."""


@dataclasses.dataclass
class Case:
    """One play of a case.

    :ivar trouble: whether the disruption comes
    :ivar lines: the record so far
    """

    world: worlds.World
    trouble: bool
    began_s: float
    lines: list[tuple[float, str]] = dataclasses.field(default_factory=list)
    kept: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )


Play = collections.abc.Callable[[Case], collections.abc.Awaitable[list[str]]]


def note(case: Case, text: str) -> None:
    """Write a line to the record."""
    case.lines.append((clock.now_s(), text))


def server_of(case: Case, number: int) -> processes.Process:
    """Return a server by its number, from 0."""
    return case.world.field.servers[number]


async def call(
    case: Case,
    number: int,
    method: str,
    path: str,
    body: dict | None = None,
    timeout_s: float = CALL_TIMEOUT_S,
) -> tuple[int, dict]:
    """Call one server as a client does; 0 stands for no whole answer."""
    process = server_of(case, number)
    sent = json.dumps(body).encode() if body is not None else b''
    sent_s = clock.now_s()
    status, value = 0, {}
    try:
        answer = await transport.call(
            case.kept,
            process.callers,
            method,
            path,
            sent,
            [(b'host', callers_.HOST.encode())],
            timeout_s=timeout_s,
        )
        status = answer.status
        with contextlib.suppress(ValueError):
            value = json.loads(answer.body)
    except errors.CallFailed as error:
        value = {'error': error.reason}
    took_ms = round((clock.now_s() - sent_s) * 1000)
    note(
        case,
        f'client: {method} {path} ({len(sent)} bytes) at {process.name}: '
        f'{status or "no answer"} {value} after {took_ms} ms',
    )
    return status, value


async def hand_in(
    case: Case, number: int, pool: str, job: str, steps: list[dict], **more
) -> int:
    """Hand a job in at one server; the executors learn of it as well."""
    case.world.fleet.world.jobs[job] = {
        'phases': steps,
        'service': pool,
        **more,
    }
    body = {'spec': job, 'phases': steps, **more}
    status, _value = await call(
        case, number, 'POST', f'{day.prefix(pool)}{job}', body
    )
    return status


def sights(case: Case) -> list[evidences.Sight]:
    """Return what the executors have seen so far."""
    return case.world.fleet.world.evidence.sights


def starts(case: Case, job: str) -> list[evidences.Sight]:
    """Return the starts of a job's tasks that executors have seen."""
    return [
        row
        for row in sights(case)
        if row.kind is evidences.Kind.STARTED and row.job == job
    ]


def is_done(case: Case, job: str) -> bool:
    """Return whether a run of a job with a single task has ended as done."""
    return any(
        row.kind is evidences.Kind.ENDED and row.how == 'done'
        for row in sights(case)
        if row.job == job
    )


def free_cores(case: Case, pool: str) -> tuple[int, int]:
    """Return the free cores of a service's executors, and all their cores."""
    executors = [
        machine.executor
        for machine in case.world.fleet.machines.values()
        if machine.pool == pool and machine.executor is not None
    ]
    cores = sum(executor.cores for executor in executors)
    used = sum(
        run.spec['cpu'] // 1000
        for executor in executors
        for run in executor.running.values()
    )
    return cores - used, cores


def lost_jobs(
    case: Case,
    cores_of: dict[str, int],
    pool: str,
    free: list[tuple[int, int]],
) -> list[str]:
    """Return the accepted jobs that the rule LOST counts, by its last part.

    Each has nothing running and isn't done, while there was capacity for it
    twice over, and under half of the service's capacity was in use.

    :param cores_of: cores that each job needs
    :param free: free cores and all cores of the service, in the time judged
    """
    note(case, f'free cores of {pool}, of all: {sorted(set(free))}')
    breaches = []
    for job, needed in cores_of.items():
        has_room = all(
            left >= 2 * needed and 2 * (cores - left) < cores
            for left, cores in free
        )
        if has_room and not starts(case, job) and not is_done(case, job):
            breaches.append(
                f'LOST: job {job} of {pool} was accepted, and nothing of it '
                f'has run until 17 s after the end of the traffic, with '
                f'{min(free)[0]} cores free, of which it needs {needed}'
            )
    return breaches


def run_case(plan: day.Plan, play: Play, folder: pathlib.Path) -> int:
    """Play a case once, write its record and return its exit status."""
    trouble = os.environ.get('TROUBLE', '1') != '0'
    status, lines, began_s = CANNOT_RUN, [], clock.now_s()
    try:
        breaches, lines, began_s = curio.run(_run, plan, play, trouble)
        status = BROKEN if breaches else HELD
        told = breaches or ['the rule held']
    except Exception:
        told = traceback.format_exc().splitlines()
    told = [*told, f'trouble: {int(trouble)}, exit status {status}']
    rows = [
        f'{at_s - began_s:8.3f} {text}'
        for at_s, text in sorted(lines, key=lambda row: row[0])
    ]
    (folder / 'record.txt').write_text('\n'.join([*rows, *told, '']))
    print('\n'.join(told))
    return status


async def _run(plan: day.Plan, play: Play, trouble: bool):
    with tempfile.TemporaryDirectory(prefix='review-') as name:
        folder = pathlib.Path(name)
        world = await worlds.build(plan, folder)
        case = Case(world, trouble, clock.now_s())
        try:
            await curio.sleep(LEAD_S)
            breaches = await play(case)
        finally:
            world.fleet.ended = True
            for process in world.field.servers:
                process.busy = True
                await processes.kill(process)
            world.guard.close()
        _note_sights(case)
        _note_logs(case, folder)
        return breaches, case.lines, case.began_s


def _note_sights(case: Case) -> None:
    for row in sights(case):
        if row.kind in SHOWN_KINDS:
            case.lines.append(
                (
                    row.at_s,
                    f'executor {row.place}: {row.kind.value} {row.task} '
                    f'{row.attempt or ""} {row.how} {row.by}'.rstrip(),
                )
            )


LOGGED = {
    ('leader', 'leads'),
    ('leader', 'ended'),
    ('leader', 'fault'),
    ('server', 'fault'),
    ('server', 'starts'),
    ('run', 'suspected'),
    ('worker', 'crash-attributed'),
    ('worker', 'met'),
    ('worker', 'gone'),
    ('job', 'ended'),
}


def _note_logs(case: Case, folder: pathlib.Path) -> None:
    """Add to the record which server led, and what ended it."""
    offset_s = clock.now_s() - clock.wall_ms() / 1000
    for path in sorted(folder.glob('*.log')):
        for line in path.read_text().splitlines():
            with contextlib.suppress(ValueError, KeyError, TypeError):
                row = json.loads(line)
                if (row['part'], row['event']) in LOGGED:
                    text = json.dumps(row)[:400]
                    case.lines.append((row['time_s'] + offset_s, text))


def main(plan: day.Plan, play: Play, file: str) -> None:
    """Play the case of a script and exit with its status."""
    sys.exit(run_case(plan, play, pathlib.Path(file).parent))
