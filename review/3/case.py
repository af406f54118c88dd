"""A job that its caller has cancelled runs once a server wakes.

With HOW=cut the server is cut off from the store instead.
"""

import os
import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import curio  # noqa: E402

import lab  # noqa: E402
from oleanderwood import clock  # noqa: E402

HOW = os.environ.get('HOW', 'freeze')
LENGTH_S = {'freeze': 3.95, 'cut': 5.0}[HOW]
"""Length of the trouble; the site's longest freeze is 4 s, its longest cut of
a machine from the store 5.5 s."""

LEAVES_S = 0.3
"""When the caller leaves: half of its aim of 600 ms."""

JOB = '5c0e7a21d94b36f8'
PATH = f'/drafts/{JOB}'
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
PHASES = [{'count': 6, 'cpu': 3500, 'mem_mb': 256, 'estimate_ms': 800}]


async def case(record, folder, trouble) -> bool:
    """Play the case; gives whether the rule was broken."""
    found = await lab.build(
        record, folder, ['s1', 's2', 's3'], {'drafts': 6}, CONFIGURATION
    )
    leader = found.leader()
    others = [row for row in found.servers if row is not leader]
    if len(others) != 2:
        raise lab.Unplayable('nobody leads')
    taker, canceller = others
    body = lab.job_body(found, JOB, PHASES)
    if trouble:
        _begin(record, taker)
    await curio.sleep(0.05)
    await lab.ask(found, taker, 'POST', PATH, body, timeout_s=LEAVES_S)
    left_s = LENGTH_S - 0.05 - LEAVES_S
    status, _ = await lab.ask(found, canceller, 'DELETE', PATH)
    acknowledged_s = clock.now_s()
    if status != 410 and not 200 <= status < 300:
        raise lab.Unplayable('the cancelling was not acknowledged')
    await curio.sleep(left_s)
    if trouble:
        _end(record, taker)
    await curio.sleep(10.0)
    await lab.ask(found, canceller, 'GET', PATH)
    if found.leader() is not leader:
        raise lab.Unplayable('another server leads: who started is not known')
    late_s = lab.BOUNDS['cancel_ms'] / 1000
    late = [
        row
        for row in lab.starts(found, JOB)
        if row.at_s > acknowledged_s + late_s
    ]
    for row in late:
        record.note(
            f'{row.task} was started {row.at_s - acknowledged_s:.2f} s after '
            f'its cancelling was acknowledged, {late_s:.1f} s are allowed'
        )
    return bool(late)


def _begin(record, server) -> None:
    if HOW == 'cut':
        server.link.cut = True
        record.note(f'{server.name} is cut off from the store')
    else:
        lab.send(server, signal.SIGSTOP)
        record.note(f'{server.name} freezes')


def _end(record, server) -> None:
    if HOW == 'cut':
        server.link.cut = False
        record.note(f'{server.name} reaches the store again')
    else:
        lab.send(server, signal.SIGCONT)
        record.note(f'{server.name} wakes')


if __name__ == '__main__':
    lab.run(case, HERE)
