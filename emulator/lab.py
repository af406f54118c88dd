"""Access to `oleander-lab`: plays emulated days and tells what callers got."""

import dataclasses
import sys
import time

import cyclopts

from emulator import crashing
from emulator import day
from emulator import features
from emulator import tenancy
from emulator import troubles
from oleanderwood import clock
from oleanderwood import event_log

APP = cyclopts.App(
    name='oleander-lab',
    help='Play days on the emulated platform.',
    version_flags=['--version'],
)


@dataclasses.dataclass(frozen=True)
class Figures:
    """What one day came to, for a line of the table.

    :ivar faults: what ended leaders' terms that should never happen
    """

    seed: int
    result: day.Result
    took_s: float
    faults: tuple[str, ...]


@APP.default
def play(
    *,
    seeds: int = 5,
    first_seed: int = 1,
    trouble_count: int = 4,
    length_s: float = 12.0,
    jobs_per_s: float = 2.0,
    turn_s: float = 0.0,
    feature_count: int = 2,
    cut_count: int = 0,
    restart_count: int = 0,
    crashes: bool = False,
    resize_count: int = 0,
    tenants: int = 0,
    change_count: int = 0,
    order_count: int = 0,
    log: str = '',
) -> int:
    """Play days with drawn troubles; the status is 1 if a rule was broken.

    :param trouble_count: troubles a day
    :param turn_s: time of one queue's turn; 0: both queues ask alike
    :param feature_count: things beyond plain tasks that a day asks for
    :param cut_count: further troubles: cuts that refuse, reset, swallow
        answers or change while they last
    :param restart_count: further troubles: executors that start again under
        their id; they tell when they were born then
    :param crashes: some tasks crash the executors that start them
    :param resize_count: further troubles: rooms that shrink and grow
    :param tenants: callers with keys and limits of their own, beside
        strangers with wrong ones
    :param change_count: further troubles: keys that are taken away and
        limits that fall
    :param order_count: further troubles: orders for machines that are held up
        or whose answers are lost, and executors lost at an order to start
    :param log: file for the log of the last day
    """
    lines: list[str] = []

    faults: list[str] = []

    def emit(part: str, event: str, **fields) -> None:
        if event == 'fault':
            faults.append(str(fields.get('why', '')))
        told = ' '.join(f'{key}={value}' for key, value in fields.items())
        lines.append(f'{clock.now_s():.3f} {part} {event} {told}')

    event_log.emit = emit
    broken = 0
    met: dict[features.Feature, list[int]] = {
        feature: [] for feature in features.Feature
    }
    costs: list[crashing.Figures] = []
    print('  seed   jobs  starts  calls  p50 s  p90 s  last s  verdict')
    for seed in range(first_seed, first_seed + seeds):
        lines.clear()
        faults.clear()
        drawn = troubles.draw(
            seed, length_s, trouble_count, troubles.LAB_KINDS
        )
        drawn += troubles.draw(seed, length_s, cut_count, troubles.CUT_KINDS)
        drawn += troubles.draw(
            seed, length_s, restart_count, troubles.RESTART_KINDS
        )
        drawn += troubles.draw(
            seed, length_s, resize_count, troubles.RESIZE_KINDS
        )
        drawn += troubles.draw(
            seed, length_s, change_count, troubles.TENANT_KINDS
        )
        drawn += troubles.draw(
            seed, length_s, order_count, troubles.ORDER_KINDS
        )
        wanted = features.draw(seed, feature_count)
        if crashes:
            wanted += (features.Feature.CRASHES,)
        plan = day.Plan(
            seed,
            length_s=length_s,
            jobs_per_s=jobs_per_s,
            turn_s=turn_s,
            troubles=tuple(drawn),
            features=wanted,
            finish_s=features.finish_s(
                wanted, tenancy.FINISH_S if tenants else day.FINISH_S
            ),
            tells_births=restart_count > 0,
            tenants=tenants,
        )
        began_s = time.perf_counter()
        result = day.play(plan)
        for feature, starts in result.met.items():
            if starts:
                met[feature].append(starts)
        costs.append(
            crashing.figures(result.evidence, day.MAX_ATTEMPTS, result.jobs)
        )
        took_s = time.perf_counter() - began_s
        broken += _show(Figures(seed, result, took_s, tuple(faults)))
    for feature, rows in met.items():
        print(f'{feature.value:>12}: {len(rows)} days, {sum(rows)} starts')
    if crashes:
        _show_costs(costs)
    if log:
        with open(log, 'w') as file:
            file.write('\n'.join(lines) + '\n')
    print(f'lab: {"FAILED" if broken else "ok"}, {seeds} days')
    return 1 if broken else 0


def _show_costs(costs: list[crashing.Figures]) -> None:
    jobs = sum(row.jobs for row in costs)
    crashes = sum(row.crashes for row in costs)
    print(
        f'{crashes} executors crashed by {jobs} jobs; '
        f'{sum(row.started_again for row in costs)} starts again and '
        f'{sum(row.wronged for row in costs)} failed of other jobs'
    )


def _show(figures: Figures) -> bool:
    result = figures.result
    waits = result.waits_s or [0.0]
    bad = bool(result.breaches or result.unfinished or figures.faults)
    print(
        f'{figures.seed:6} {result.accepted:6} {result.starts:7}'
        f' {result.store_calls:6}'
        f' {waits[len(waits) // 2]:6.2f} {waits[len(waits) * 9 // 10]:6.2f}'
        f' {waits[-1]:7.2f}  {"BROKEN" if bad else "ok"}'
    )
    for breach in result.breaches[:5]:
        print(f'       {breach}')
    for job in result.unfinished[:5]:
        print(f'       not ended: {job}')
    for fault in figures.faults[:5]:
        print(f'       fault: {fault.strip().splitlines()[-1]}')
    return bad


def main() -> None:
    """Run the command."""
    sys.exit(APP())


if __name__ == '__main__':
    main()
