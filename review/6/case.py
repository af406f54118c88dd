"""Case 6: a gang waits for its time as its tenant's limit is lowered."""

import asyncio
import pathlib
import sys
import time

FOLDER = pathlib.Path(__file__).resolve().parent
sys.path.insert(0, str(FOLDER.parent))

import rig  # noqa: E402

KEY = {'authorization': 'Token key-1'}
BEFORE, AFTER = 20_000, 8_000
"""The tenant's limit, in thousandths of a core."""

OVERAGE = 0.1
TASK = 6_000
DUE_S = 6.0
FINISH_S = 14.0
JOB = '5c0e7a21d94b36f8'


async def case(world: rig.World, trouble: bool) -> bool:
    """Return whether the rule held."""
    for number in range(6):
        world.add(f'm-{number}', 'drafts', ['a', f'r1-{number // 4}'])
    await world.start(['drafts'], tenants=[tenant(BEFORE)])
    server = world.servers[0]
    work = {
        'spec': 'sheet',
        'repeat_count': 1,
        'interval_ms': 1000,
        'start_time_ms': int((time.time() + DUE_S) * 1000),
        'phases': [
            {
                'count': 2,
                'gang': True,
                'cpu': TASK,
                'mem_mb': 1024,
                'estimate_ms': 800,
            }
        ],
    }
    world.jobs[JOB] = work
    status, _ = await world.call(
        server, 'POST', f'/drafts/{JOB}', work, headers=KEY
    )
    if status != 200:
        raise rig.Unplayable(f'the job was answered {status}')
    await asyncio.sleep(1.0)
    if trouble:
        world.configure(2, ['drafts'], tenants=[tenant(AFTER)])
        world.note(f'the operator lowers max_count to {AFTER}')
    await asyncio.sleep(DUE_S + FINISH_S + 3.0)
    _, value = await world.call(server, 'GET', f'/drafts/{JOB}', headers=KEY)
    allowed = AFTER * (1 + OVERAGE) + TASK
    world.note(
        f'started: {len(world.starts)}; the gang asks for {2 * TASK}, and '
        f'QUOTA allows up to {allowed:.0f}; shown as {value}'
    )
    return len(world.starts) == 2


def tenant(limit: int) -> dict:
    """Return the tenant with a limit."""
    return {
        'name': 'crew',
        'api_keys': ['key-1'],
        'weight': 5,
        'max_count': {'cpu': limit, 'mem_mb': 0, 'gpu': 0},
    }


if __name__ == '__main__':
    rig.main(FOLDER, case)
