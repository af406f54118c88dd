"""Jobs that no worker has begun are left out of the count of pending jobs."""

import json
import pathlib
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import curio  # noqa: E402

import lab  # noqa: E402
from oleanderwood import clock  # noqa: E402

GREY_S = 6.4
"""Time for which a worker refuses; the site's longest of the kind is 6.5 s."""

REFUSED_SHARE = 0.4
"""Share of the starts that it refuses, as ``fleetbench kinds`` gives it."""

MACHINES = 10
"""One of them is a share of 0.1; the site's largest of the kind is 0.1."""

WAITING = 40
"""Jobs that wait."""

COUNTED_AFTER_S = lab.BOUNDS['visible_ms'] / 1000 + 2.0
"""Age from which a job has to be counted."""

CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'sheet-draft',
            'host': lab.HOST,
            'prefix': '/drafts/',
            'service': 'drafts',
            'target_duration_ms': 600,
            'priority': 0,
            'max_attempts': 4,
            'stretch': 1.6,
        }
    ],
    'services': [{'name': 'drafts', 'admission_check': True}],
}
LONG = [
    {
        'count': MACHINES - 1,
        'cpu': 64000,
        'mem_mb': 256,
        'estimate_ms': 25000,
    }
]
SHORT = [{'count': 1, 'cpu': 1500, 'mem_mb': 256, 'estimate_ms': 800}]


async def case(record, folder, trouble, servers) -> bool:
    """Play the case; gives whether the rule was broken."""
    found = await lab.build(
        record, folder, ['s1', 's2', 's3'], {'drafts': MACHINES}, CONFIGURATION
    )
    servers += found.servers
    accepted_s: dict[str, float] = {}
    await _hand_in(found, 0, LONG, accepted_s)
    await curio.sleep(1.5)
    busy = {row.place for row in lab.starts(found, f'{0:016x}')}
    free = [
        machine
        for machine in found.fleet.machines.values()
        if machine.executor.name not in busy
    ]
    if len(free) != 1:
        raise lab.Unplayable(f'{len(free)} workers are free')
    grey_from_s = clock.now_s()
    end_grey = None
    if trouble:
        end_grey = lab.refuse_starts(found, free[0], REFUSED_SHARE)
        record.note(
            f'the worker of {free[0].name} refuses {REFUSED_SHARE:.0%} of '
            f'the starts with 503'
        )
    for number in range(1, WAITING + 1):
        await _hand_in(found, number, SHORT, accepted_s)
    last_s = max(accepted_s.values())
    await curio.sleep(last_s + COUNTED_AFTER_S + 0.15 - clock.now_s())
    broken = False
    for server in found.servers:
        broken |= await _count(found, server, accepted_s)
    left_s = grey_from_s + GREY_S - clock.now_s()
    if left_s < 0:
        raise lab.Unplayable('the count took too long')
    await curio.sleep(left_s)
    if end_grey is not None:
        end_grey()
        record.note(f'the worker of {free[0].name} takes all starts')
    await curio.sleep(4.0)
    return broken


async def _hand_in(found, number, phases, accepted_s) -> None:
    job = f'{number:016x}'
    body = lab.job_body(found, job, phases)
    server = found.servers[number % len(found.servers)]
    status, _ = await lab.ask(found, server, 'POST', f'/drafts/{job}', body)
    if status != 200:
        raise lab.Unplayable('a job was not accepted')
    accepted_s[job] = clock.now_s()


async def _count(found, server, accepted_s) -> bool:
    """Ask for the count; give whether it is under half of the true one."""
    asked_s = clock.now_s()
    status, answer = await lab.ask(found, server, 'GET', '/drafts/')
    waiting = [
        job
        for job, at_s in accepted_s.items()
        if at_s < asked_s - COUNTED_AFTER_S and not lab.starts(found, job)
    ]
    if status != 200:
        raise lab.Unplayable('the count was not answered')
    pending = json.loads(answer)['pending']
    found.record.note(
        f'{len(waiting)} jobs accepted over {COUNTED_AFTER_S:.0f} s ago have '
        f'not begun on any worker; {server.name} gives {pending}'
    )
    return pending < len(waiting) / 2


if __name__ == '__main__':
    lab.run(case, HERE)
