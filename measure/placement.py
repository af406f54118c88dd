"""Access to the measurement of placement: ``python -m measure.placement``.

Each seed generates a case; every way of deciding sees the same cases.
"""

import dataclasses
import random
import statistics
import typing

import cyclopts
import msgspec

from measure import placement_inputs
from measure import placement_loop
from measure import placement_packing
from measure import placement_state
from measure import table
from oleanderwood import placement_policy
from oleanderwood import urgent_placement

URGENT_GOAL = 0.999
DECISION_GOAL_S = 0.1
SETTLING_SAMPLES = 5
"""Samples of utilisation left out, until the first tasks were measured."""

DEFAULT_SEEDS = 20


@dataclasses.dataclass(frozen=True)
class Way:
    """A way of deciding; ``learns`` says whether usage reports count."""

    name: str
    policy: placement_policy.Policy
    learns: bool = True


THIS = Way('this version', placement_policy.DEFAULT)
BASELINES = (
    Way(
        'first fit on declared sizes',
        placement_policy.Policy(
            placement_policy.first,
            placement_policy.by_arrival,
            placement_policy.no_reserve,
            quota_kept_share=0.0,
            preempts=False,
        ),
        learns=False,
    ),
    Way(
        'random worker',
        dataclasses.replace(
            placement_policy.DEFAULT, choose=placement_policy.anyone
        ),
    ),
    Way(
        'no preemption',
        dataclasses.replace(placement_policy.DEFAULT, preempts=False),
    ),
)
WAYS = (THIS, *BASELINES)


def rows(seed: int, seeds: int = DEFAULT_SEEDS) -> list[table.Row]:
    """Measure this version at all sizes and the baselines at the small ones.

    For the time it takes, a baseline sees a quarter of the seeds, packing
    half of them, and the design size one in 20.
    """
    found = []
    for scale in (placement_inputs.KLAPA, placement_inputs.ASCENSIA):
        found.append(row(scale, THIS, seed, seeds))
        for way in BASELINES:
            found.append(row(scale, way, seed, max(seeds // 4, 1)))
    design_seeds = max(seeds // 20, 1)
    found.append(row(placement_inputs.DESIGN, THIS, seed, design_seeds))
    return found + placement_packing.rows(seed, max(seeds // 2, 1))


def row(
    scale: placement_inputs.Scale, way: Way, seed: int, seeds: int
) -> table.Row:
    """Measure one way at one size."""
    cases = [case(scale, way, seed + index) for index in range(seeds)]
    return summary(scale, way, cases)


def case(
    scale: placement_inputs.Scale, way: Way, seed: int
) -> dict[str, float]:
    """Follow one seed, and give its figures by name."""
    inputs = placement_inputs.generate(scale, random.Random(seed))
    rng = random.Random(seed + 1_000_000)
    run = placement_loop.run(inputs, way.policy, way.learns, rng)
    return _figures(inputs, run)


def _figures(
    inputs: placement_inputs.Inputs, run: placement_state.Figures
) -> dict[str, float]:
    waits_s = sorted(run.urgent_waits_s)
    limit_s = urgent_placement.URGENT_START_S
    in_time = sum(1 for wait_s in waits_s if wait_s <= limit_s)
    bad = inputs.bad_workers
    return {
        'cores used, share': _mean(run.cores_used[SETTLING_SAMPLES:]),
        'cores short, share': _mean(run.cores_short),
        'memory used, share': _mean(run.memory_used[SETTLING_SAMPLES:]),
        'work done, share of bound': run.core_s_done
        / placement_inputs.work_bound(inputs),
        'work lost, share of bound': run.core_s_lost
        / placement_inputs.work_bound(inputs),
        'urgent tasks': len(waits_s) + run.urgent_open,
        'urgent in time': in_time,
        'urgent wait p99, s': waits_s[int(len(waits_s) * 0.99)],
        'throttled for urgent': run.throttles,
        'checkpointed for urgent': run.ends_for_room - run.stops_for_room,
        'stopped for urgent': run.stops_for_room,
        'tasks moved': run.moves,
        'tasks moved, by needed': _share(run.moves, run.moves_needed),
        'killed for memory': run.out_of_memory,
        'starts refused': run.refused,
        'quota breaches': run.quota_breaches,
        'double runs': run.double_runs,
        'set aside wrongly': len(run.aside - bad),
        'bad workers found, share': _share(len(run.aside & bad), len(bad)),
        'never-runs told, share': _share(
            len(run.told & inputs.impossible), len(inputs.impossible)
        ),
        'never-runs told wrongly': len(run.told - inputs.impossible),
        'least share of quota / largest': _mean(run.fairness),
        'decision, ms': statistics.median(run.decision_s) * 1e3,
        'longest decision, ms': max(run.decision_s) * 1e3,
    }


def _mean(values: list[float]) -> float:
    return sum(values) / len(values) if values else 0.0


def _share(part: int, whole: int) -> float:
    return part / whole if whole else 1.0


def summary(
    scale: placement_inputs.Scale,
    way: Way,
    cases: list[dict[str, float]],
) -> table.Row:
    """Sum up the cases of one way, and say which goals were met."""
    columns = {name: [one[name] for one in cases] for name in cases[0]}
    in_time = sum(columns.pop('urgent in time'))
    share = in_time / sum(columns['urgent tasks'])
    figures = [
        table.figure(
            'urgent within 3.8 s, all seeds',
            [share],
            f'>= {URGENT_GOAL}',
            share >= URGENT_GOAL,
        )
    ]
    for name, values in columns.items():
        figures.append(_with_goal(scale, name, values))
    return table.Row(
        'placement', scale.name, way.name, len(cases), tuple(figures)
    )


def _with_goal(
    scale: placement_inputs.Scale, name: str, values: list[float]
) -> table.Figure:
    if name in ('quota breaches', 'double runs', 'set aside wrongly'):
        return table.figure(name, values, '0', max(values) == 0)
    if name == 'decision, ms' and scale is placement_inputs.DESIGN:
        limit_ms = DECISION_GOAL_S * 1e3
        met = max(values) < limit_ms
        return table.figure(name, values, f'< {limit_ms:g}', met)
    return table.figure(name, values)


def main(
    *,
    seed: int = 1,
    seeds: int = DEFAULT_SEEDS,
    scale: typing.Literal['all', 'klapa', 'ascensia', 'design'] = 'all',
    way: str = '',
    as_json: typing.Annotated[bool, cyclopts.Parameter('--json')] = False,
) -> None:
    """Measure placement against its baselines and bounds.

    :param seed: the first seed
    :param seeds: how many seeds are followed
    :param scale: only this size, with all seeds, also at the design size
    :param way: only the ways whose name begins so
    :param as_json: print rows as JSON
    """
    if scale == 'all':
        found = rows(seed, seeds)
    else:
        chosen = {one.name.lower(): one for one in placement_inputs.SCALES}
        ways = [one for one in WAYS if one.name.startswith(way)]
        found = [row(chosen[scale], one, seed, seeds) for one in ways]
    if as_json:
        print(msgspec.json.encode(found).decode())
    else:
        print(table.text(found))


if __name__ == '__main__':
    cyclopts.run(main)
