"""Both users' deployments in virtual time: ``python -m emulator.demo``.

Each has the pools, servers and machines of its owner, demand that turns
between the queues, a wave of maintenance and a few troubles.
"""

import sys

from emulator import day
from emulator import troubles
from oleanderwood import event_log

Kind = troubles.Kind
Trouble = troubles.Trouble

TROUBLES = (
    Trouble(Kind.WAVE, 2.0),
    Trouble(Kind.LEADER_KILLED, 6.0, 3.0),
    Trouble(Kind.EXECUTOR_CRASHED, 9.0, 4.0),
    Trouble(Kind.STORE_DOWN, 14.0, 3.0),
    Trouble(Kind.LEADER_STOPPED, 18.0, 3.0),
)

DEPLOYMENTS = {
    'Klapa, Ljubljana': day.Plan(
        seed=11,
        length_s=24.0,
        server_count=6,
        machines_a_pool=6,
        machines_on_standby=6,
        pools=('drafts', 'finals', 'sides', 'units'),
        jobs_per_s=5.0,
        turn_s=4.0,
        troubles=TROUBLES,
    ),
    'Ascensia, Buenos Aires': day.Plan(
        seed=12,
        length_s=24.0,
        server_count=8,
        machines_a_pool=8,
        machines_on_standby=8,
        pools=('alertas', 'lineas', 'retorno', 'carteles'),
        jobs_per_s=5.0,
        turn_s=4.0,
        troubles=TROUBLES,
    ),
}


def main() -> int:
    """Play both; the status is 1 if a rule was broken or a job is open."""
    event_log.emit = _quiet
    broken = 0
    for name, plan in DEPLOYMENTS.items():
        result = day.play(plan)
        waits = result.waits_s
        print(
            f'{name}: {result.accepted} of {result.handed_in} jobs accepted, '
            f'{result.starts} tasks started, half of the jobs ended within '
            f'{waits[len(waits) // 2]:.1f} s, all within {waits[-1]:.1f} s'
        )
        for breach in result.breaches:
            print(f'  {breach}')
        for job in result.unfinished:
            print(f'  not ended: {job}')
        broken += bool(result.breaches or result.unfinished)
    print('demo: FAILED' if broken else 'demo: ok')
    return 1 if broken else 0


def _quiet(part: str, event: str, **fields) -> None:
    """Log nothing: the demo tells its own story."""


if __name__ == '__main__':
    sys.exit(main())
