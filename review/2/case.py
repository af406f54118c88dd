"""A job that was refused runs: the call was passed on twice."""

import pathlib
import signal
import sys

HERE = pathlib.Path(__file__).resolve().parent
sys.path[:0] = [str(HERE.parent), str(HERE.parent.parent)]

import curio  # noqa: E402

import lab  # noqa: E402
from oleanderwood import clock  # noqa: E402
from oleanderwood.web import http  # noqa: E402

TURNED_AWAY = 2
TURNED_AWAY_S = 5.4
"""How many of six servers the store turns away, and for how long; the site's
largest share of the kind is 0.35, and its longest time 9 s."""

STALE_AFTER_S = 3.15
"""Time from which a server that is turned away passes calls on."""

HOT_FROM_S = 1.0
HOT_S = 4.4
"""When the large tenant sends many times its usual, and for how long; the
site's longest of the kind is 6.9 s."""

USUAL_PER_S = 7
"""What a tenant usually sends, and its weight."""

HOT_PER_S = 30.0
"""Jobs a second that the large tenant sends then, beside the calls below: 222
jobs in HOT_S, which are 7.2 times its usual; the site's largest is 7.5."""

FREEZE_S = 1.0
"""Length of the freeze; the site's longest of the kind is 4 s."""

CALLS = 15
"""Calls at each server that is turned away, during the freeze."""

ROUNDS = 3
"""How often the trouble comes at most, 17 s apart; the first round that breaks
the rule is the last one."""

KEYS = {'large': 'key-of-large', 'small': 'key-of-small'}
CONFIGURATION = {
    'version': 3,
    'routes': [
        {
            'name': 'tag-reprice',
            'host': lab.HOST,
            'prefix': '/pricing/',
            'service': 'pricing',
            'target_duration_ms': 600,
            'priority': 0,
            'max_attempts': 2,
            'stretch': 1.6,
            'public': False,
        }
    ],
    'services': [{'name': 'pricing', 'admission_check': True}],
    'tenants': [
        {
            'name': name,
            'api_keys': [key],
            'weight': USUAL_PER_S,
            'max_count': {'cpu': 0, 'mem_mb': 0, 'gpu': 0},
        }
        for name, key in KEYS.items()
    ],
}
BOUNDS = {
    'contact_ms': 4000,
    'strict_revoke': True,
    'revoke_ms': 5000,
    'contracts': ['base', 'sched', 'tenants', 'quota', 'pressure', 'platform'],
}
PHASES = [{'count': 2, 'cpu': 3100, 'mem_mb': 256, 'estimate_ms': 1000}]


async def case(record, folder, trouble) -> bool:
    """Play the case; gives whether the rule was broken."""
    found = await lab.build(
        record,
        folder,
        ['s1', 's2', 's3', 's4', 's5', 's6'],
        {'pricing': 4},
        CONFIGURATION,
        BOUNDS,
        cores=32,
    )
    answers: dict[str, list[int]] = {}
    for _ in range(ROUNDS):
        await _play_round(found, trouble, answers)
        # Whatever was stored has begun by then.
        await curio.sleep(12.0)
        if _judge(found, answers):
            return True
    return False


async def _play_round(found, trouble, answers) -> None:
    leader = found.leader()
    others = [row for row in found.servers if row is not leader]
    if len(others) != 5:
        raise lab.Unplayable('nobody leads')
    away, sound = others[:TURNED_AWAY], others[TURNED_AWAY:]
    began_s = clock.now_s()

    async def until(at_s: float) -> None:
        await curio.sleep(max(0.0, began_s + at_s - clock.now_s()))

    names = ' and '.join(server.name for server in away)
    # The load balancer gives a server that isn't ready no new connections,
    # but open ones stay.
    lines = [
        (server, await lab.connect(server.front))
        for _ in range(CALLS)
        for server in away
    ]
    if trouble:
        found.store.refused.update(server.name for server in away)
        found.record.note(f'the store turns {names} away with 503')
    await until(HOT_FROM_S)
    hot = await curio.spawn(_press, found, [leader, *sound], answers)
    await until(STALE_AFTER_S)
    for _ in range(2):
        # The calls of an ordinary moment: they are passed on and answered.
        await _call_many(found, lines, answers)
    await curio.sleep(0.1)
    if trouble:
        lab.send(leader, signal.SIGSTOP)
        found.record.note(f'{leader.name}, which leads, freezes')
    frozen_s = clock.now_s()
    await curio.sleep(0.01)
    calls = await curio.spawn(_call_many, found, lines, answers)
    await curio.sleep(frozen_s + FREEZE_S - clock.now_s())
    if trouble:
        lab.send(leader, signal.SIGCONT)
        found.record.note(f'{leader.name} wakes')
    await calls.join()
    await hot.join()
    await until(TURNED_AWAY_S)
    if trouble:
        found.store.refused.clear()
        found.record.note(f'the store serves {names} again')
    for _server, kept in lines:
        await http.close(kept)


def _judge(found, answers) -> bool:
    rejected = [
        job
        for job, statuses in answers.items()
        if statuses and all(status in (429, 503) for status in statuses)
    ]
    ran = [job for job in rejected if lab.starts(found, job)]
    found.record.note(
        f'{len(answers)} jobs were sent, {len(rejected)} were rejected at '
        f'every attempt'
    )
    for job in ran:
        found.record.note(f'{job} was rejected ({answers[job]}) and has run')
    return bool(ran)


async def _press(found, servers, answers) -> None:
    """Let the large tenant send many times its usual."""
    tasks = []
    until_s = clock.now_s() + HOT_S
    while clock.now_s() < until_s:
        server = servers[len(answers) % len(servers)]
        tasks.append(
            await curio.spawn(_hand_in, found, server, _job(answers), answers)
        )
        await curio.sleep(1 / HOT_PER_S)
    for task in tasks:
        await task.join()


async def _call_many(found, lines, answers) -> None:
    """Hand a job in on each of some open connections, all at once."""
    tasks = []
    for server, kept in lines:
        job = _job(answers)
        tasks.append(
            await curio.spawn(_hand_in, found, server, job, answers, kept)
        )
    for task in tasks:
        await task.join()


def _job(answers) -> str:
    """Give the id of another job."""
    job = f'{len(answers) + 1:04x}{"b" * 12}'
    answers[job] = []
    return job


async def _hand_in(found, server, job, answers, kept=None) -> None:
    body = lab.job_body(found, job, PHASES)
    path = f'/pricing/{job}'
    status, _ = await lab.ask(
        found, server, 'POST', path, body, key=KEYS['large'], kept=kept
    )
    answers[job].append(status)


if __name__ == '__main__':
    lab.run(case, HERE)
