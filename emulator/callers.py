"""Callers: they hand jobs in, ask for them until the end, and cancel."""

import dataclasses
import json
import random

import curio

from emulator import crashing
from emulator import evidence as evidences
from emulator import executors
from emulator import network as networks
from emulator import servers
from oleanderwood import clock
from oleanderwood import errors
from oleanderwood.platform import transport
from oleanderwood.web import connections

HOST = 'callers.example'
TIMEOUT_S = 3.0
TRIES = 4
IN_DOUBT = (0, 504)
"""Statuses after which a call may have been done; 0: no answer."""

ASK_S = 0.7
"""Time between two questions for a job's state."""

LATER = '-later'
"""What the paths of jobs that may wait have beyond their pool's name."""

UNTOLD = ('poison', crashing.FIELD)
"""What the executors alone know of a step."""

TIMES = ('repeat_count', 'start_time_ms', 'interval_ms')
"""Fields of a job that runs at times of its own."""


@dataclasses.dataclass
class Callers:
    """All callers of a run.

    :ivar answered_s: time from handing in to the first accepted answer
    :ivar finished_s: time from handing in until shown as completed
    """

    network: networks.Network
    world: executors.World
    processes: list[servers.Process]
    rng: random.Random
    kept: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )
    accepted: dict[str, float] = dataclasses.field(default_factory=dict)
    finished_s: dict[str, float] = dataclasses.field(default_factory=dict)
    cancelled: set[str] = dataclasses.field(default_factory=set)


async def _call(callers: Callers, method, path, body=b''):
    """Call any server; gives the status and the body, 0 if no answer."""
    up = [row for row in callers.processes if row.state is not None]
    if not up:
        await curio.sleep(0.2)
        return 0, b''
    process = callers.rng.choice(up)
    try:
        answer = await transport.call(
            callers.kept,
            process.callers,
            method,
            path,
            body,
            [(b'host', HOST.encode())],
            timeout_s=TIMEOUT_S,
        )
        return answer.status, answer.body
    except errors.CallFailed:
        return 0, b''
    except errors.BadMessage as error:
        return error.status, b''


def _note(callers: Callers, kind: evidences.Kind, job: str, how: str):
    evidences.note(
        callers.world.evidence, clock.now_s(), kind, job=job, how=how
    )


async def hand_in(
    callers: Callers,
    prefix: str,
    job: str,
    spec: dict,
    cancel_after_s: float | None = None,
) -> None:
    """Hand a job in and follow it to its end."""
    service = prefix.strip('/').removesuffix(LATER)
    callers.world.jobs[job] = {**spec, 'service': service}
    sent = {
        **{key: spec[key] for key in TIMES if key in spec},
        'spec': job,
        'phases': [
            {key: value for key, value in step.items() if key not in UNTOLD}
            for step in spec['phases']
        ],
    }
    body = json.dumps(sent).encode()
    began_s = clock.now_s()
    for _try in range(TRIES):
        _note(callers, evidences.Kind.HANDED_IN, job, 'sent')
        status, _body = await _call(callers, 'POST', prefix + job, body)
        _note(callers, evidences.Kind.HANDED_IN, job, str(status))
        if status == 200:
            callers.accepted[job] = clock.now_s()
            break
        await curio.sleep(1.0)
    else:
        return
    if cancel_after_s is not None:
        await curio.sleep(cancel_after_s)
        await _cancel(callers, prefix, job)
    await _ask(callers, prefix, job, began_s)


async def _cancel(callers: Callers, prefix: str, job: str) -> None:
    for _try in range(TRIES):
        status, _body = await _call(callers, 'DELETE', prefix + job)
        if status in (200, 410):
            callers.cancelled.add(job)
            _note(callers, evidences.Kind.CANCELLED, job, str(status))
            return
        if status in IN_DOUBT:
            _note(callers, evidences.Kind.CANCEL_IN_DOUBT, job, str(status))
        await curio.sleep(0.5)


async def _ask(callers, prefix, job, began_s) -> None:
    while True:
        await curio.sleep(ASK_S)
        status, body = await _call(callers, 'GET', prefix + job)
        how = str(status)
        if status == 200:
            how = json.loads(body)['state']
        _note(callers, evidences.Kind.SHOWN, job, how)
        if how in ('completed', 'failed', 'cancelled'):
            callers.finished_s[job] = clock.now_s() - began_s
            return
