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
from emulator import tenancy as tenancies
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

ABANDON_EVERY_S = 0.5
"""Time between two jobs whose callers leave."""

LONGEST_WAIT_S = 0.6
"""Longest time for which such a caller waits for its answer."""

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
    :ivar abandoned: jobs whose callers left and cancelled them
    :ivar tenancy: whose keys they show; None: they need none
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
    abandoned: set[str] = dataclasses.field(default_factory=set)
    tenancy: tenancies.Tenancy | None = None


async def _call(callers: Callers, method, path, body=b''):
    """Call any server as the tenant whose job the path names."""
    tenancy = callers.tenancy
    if tenancy is None:
        return await _call_with(callers, method, path, body, None)
    job = path.rpartition('/')[2]
    if job not in tenancy.owner:
        tenancies.draw_owner(tenancy, job)
    key = tenancies.key_of(tenancy, job)
    return await _call_with(callers, method, path, body, key)


async def _call_with(
    callers: Callers, method, path, body, key: str | None, own: bool = True
):
    """Call any server; gives the status and the body, 0 if no answer.

    :param key: that the call shows, if any
    :param own: what the path names is of the key's tenant
    """
    up = [row for row in callers.processes if row.state is not None]
    if not up:
        await curio.sleep(0.2)
        return 0, b''
    process = callers.rng.choice(up)
    headers = [(b'host', HOST.encode())]
    if key is not None:
        headers.append((b'authorization', b'Token ' + key.encode()))
    sent_s = clock.now_s()
    status, answer = 0, b''
    try:
        answer_ = await transport.call(
            callers.kept,
            process.callers,
            method,
            path,
            body,
            headers,
            timeout_s=TIMEOUT_S,
        )
        status, answer = answer_.status, answer_.body
    except errors.CallFailed:
        pass
    except errors.BadMessage as error:
        status = error.status
    if callers.tenancy is not None:
        callers.tenancy.calls.append(
            tenancies.Call(
                sent_s, key or '', method, status, own, clock.now_s()
            )
        )
    return status, answer


def _note(callers: Callers, kind: evidences.Kind, job: str, how: str):
    evidences.note(
        callers.world.evidence, clock.now_s(), kind, job=job, how=how
    )


def _body(job: str, spec: dict) -> bytes:
    sent = {
        **{key: spec[key] for key in TIMES if key in spec},
        'spec': job,
        'phases': [
            {key: value for key, value in step.items() if key not in UNTOLD}
            for step in spec['phases']
        ],
    }
    return json.dumps(sent).encode()


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
    body = _body(job, spec)
    began_s = clock.now_s()
    for _try in range(TRIES):
        _note(callers, evidences.Kind.HANDED_IN, job, 'sent')
        status, _answer = await _call(callers, 'POST', prefix + job, body)
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


async def abandon_always(callers: Callers, pools: tuple[str, ...]) -> None:
    """Let callers leave and cancel their jobs elsewhere, until cancelled."""
    rng = random.Random(callers.rng.random())
    while True:
        await curio.sleep(ABANDON_EVERY_S)
        await curio.spawn(
            _abandon,
            callers,
            rng.choice(pools),
            f'{rng.getrandbits(64):016x}',
            rng.uniform(0.0, LONGEST_WAIT_S),
            daemon=True,
        )


async def _abandon(
    callers: Callers, pool: str, job: str, leave_after_s: float
) -> None:
    """Hand a job in, leave without its answer if need be, and cancel it."""
    step = {'count': 1, 'cpu': 500, 'mem_mb': 100, 'estimate_ms': 300}
    spec = {'phases': [step]}
    callers.world.jobs[job] = {**spec, 'service': pool}
    callers.abandoned.add(job)
    prefix = f'/{pool}/'
    _note(callers, evidences.Kind.HANDED_IN, job, 'sent')
    status = 0
    async with curio.ignore_after(leave_after_s):
        status, _answer = await _call(
            callers, 'POST', prefix + job, _body(job, spec)
        )
    _note(callers, evidences.Kind.HANDED_IN, job, str(status))
    await _cancel(callers, prefix, job)


async def _cancel(callers: Callers, prefix: str, job: str) -> None:
    for _try in range(TRIES):
        status, _answer = await _call(callers, 'DELETE', prefix + job)
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


async def disturb_always(callers: Callers, pools: tuple[str, ...]) -> None:
    """Let strangers call with keys that aren't good, until cancelled."""
    tenancy = callers.tenancy
    while True:
        await curio.sleep(tenancies.STRANGERS_S)
        await curio.spawn(
            _disturb, callers, tenancy.rng.choice(pools), daemon=True
        )


async def _disturb(callers: Callers, pool: str) -> None:
    tenancy = callers.tenancy
    rng = tenancy.rng
    prefix = f'/{pool}/'
    known = [job for job in callers.accepted if job in tenancy.owner]
    job = rng.choice(known) if known else ''
    shown, key = tenancies.strange_key(tenancy, job)
    method = rng.choice(('GET', 'DELETE', 'POST', 'COUNT'))
    if method == 'COUNT' or not job:
        # A queue is all tenants'.
        await _call_with(callers, 'GET', prefix, b'', key)
        return
    own = shown is tenancies.Shown.TAKEN_AWAY
    if method == 'DELETE' and own:
        # It may count for a while, and would cancel the job.
        method = 'GET'
    if method != 'POST':
        await _call_with(callers, method, prefix + job, b'', key, own)
        return
    if shown is tenancies.Shown.OF_ANOTHER:
        body = _body(job, callers.world.jobs[job])
        await _call_with(callers, method, prefix + job, body, key, own)
        return
    await _hand_in_strange(callers, prefix, key)


async def _hand_in_strange(callers: Callers, prefix: str, key) -> None:
    """Hand a job in with a key that isn't good, or isn't any more."""
    job = f'{callers.tenancy.rng.getrandbits(64):016x}'
    step = {'count': 1, 'cpu': 500, 'mem_mb': 100, 'estimate_ms': 300}
    spec = {'phases': [step]}
    service = prefix.strip('/')
    callers.world.jobs[job] = {**spec, 'service': service}
    callers.tenancy.owner[job] = ''
    _note(callers, evidences.Kind.HANDED_IN, job, 'sent')
    status, _answer = await _call_with(
        callers, 'POST', prefix + job, _body(job, spec), key
    )
    _note(callers, evidences.Kind.HANDED_IN, job, str(status))
