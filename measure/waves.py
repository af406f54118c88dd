"""Access to the measurement of waves, by events fed to the decisions."""

import collections.abc
import dataclasses
import heapq
import itertools
import random
import statistics
import time

import msgspec

from measure import bounds
from measure import inputs
from measure import table
from oleanderwood import budget
from oleanderwood import buffer
from oleanderwood import failure_estimate
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve
from oleanderwood import wave

MOVE_S = 5.0
"""Time for entries to release a VM that changes pools."""

REPLACE_S = 3600.0
MAX_EVENTS = 20_000
STEP_S = 120.0
"""A decision is made at least this often while a wave runs."""


@dataclasses.dataclass(frozen=True)
class Faults:
    """What goes wrong: drawn from the seed before the wave starts."""

    fails: frozenset[ids.VmId] = frozenset()
    """VMs that come back broken when they are first maintained."""

    bad_until_s: float = 0.0
    """Before this, the image is bad and most VMs come back broken."""

    bad_share: float = 0.0
    rack: reserve.Site | None = None
    rack_at_s: float = 0.0


@dataclasses.dataclass
class World:
    """The fleet in time; ``events`` is a heap of (time, order, event)."""

    drawn: inputs.Fleet
    rows: dict[ids.VmId, fleet.VmRow]
    duration_s: dict[ids.VmId, float]
    faults: Faults
    rng: random.Random
    progress: wave.Progress
    now_s: float = 0.0
    events: list = dataclasses.field(default_factory=list)
    order: collections.abc.Iterator = dataclasses.field(
        default_factory=itertools.count
    )
    spent: dict[ids.PoolId, budget.Spent] = dataclasses.field(
        default_factory=dict
    )
    pending: list[buffer.Move] = dataclasses.field(default_factory=list)
    result: 'Result' = None


@dataclasses.dataclass
class Result:
    """What a wave cost.

    ``breaches`` counts pools brought below their minimum by an action of
    ours, ``unsafe`` actions that left a promised loss not survivable which
    was survivable before, ``twice`` VMs maintained twice, ``overspent``
    pools beyond the quarter's budget at the end.
    """

    end_s: float = 0.0
    done: int = 0
    failed: int = 0
    left: int = 0
    moves: int = 0
    breaches: int = 0
    unsafe: int = 0
    twice: int = 0
    overspent: int = 0
    short_vm_s: float = 0.0
    step_s: list = dataclasses.field(default_factory=list)
    phases: list = dataclasses.field(default_factory=list)


class Decision(msgspec.Struct, frozen=True):
    """What a way of deciding does at one step; ``wake_s`` asks again."""

    take: tuple[ids.VmId, ...] = ()
    moves: tuple[buffer.Move, ...] = ()
    done: bool = False


ROLL_OUT_GOAL = 1.25
MOVES_GOAL = 1.1
STEP_GOAL_MS = 100.0
DESIGN_EVENTS = 15
"""Events of a wave at the design size; a whole one takes minutes."""


def rows(seed: int, seeds: int) -> list[table.Row]:
    """Measure waves at all sizes."""
    found = []
    for shape in (inputs.KLAPA, inputs.ASCENSIA):
        fleets = [inputs.generate(shape, seed + n) for n in range(seeds)]
        numbers = range(seed, seed + seeds)
        for name, decide in WAYS.items():
            for faulty in (False, True):
                found.append(
                    _row(shape, fleets, numbers, name, decide, faulty)
                )
        found.append(_bound(shape, fleets, numbers))
    found.append(_design(seed, inputs.design_seeds(seeds)))
    return found


def _row(shape, fleets, numbers, name, decide, faulty) -> table.Row:
    results = []
    for drawn, number in zip(fleets, numbers):
        faults = draw_faults(drawn, number) if faulty else Faults()
        results.append(run(drawn, number, faults, decide))
    suffix = 'with faults' if faulty else 'without faults'
    figures = _figures(results)
    if not faulty:
        figures += _against_bounds(shape, fleets, numbers, results, name)
    return table.Row(
        'waves', shape.name, f'{name}, {suffix}', len(results), tuple(figures)
    )


def _figures(results: list['Result']) -> list[table.Figure]:
    breaches = [item.breaches for item in results]
    figures = [
        table.figure('roll-out s', [item.end_s for item in results]),
        table.figure('moves', [item.moves for item in results]),
        table.figure('breaches', breaches, '0', max(breaches) == 0),
        table.figure('promises broken', [item.unsafe for item in results]),
        table.figure('VMs left over', [item.left for item in results]),
        table.figure('VMs come back broken', [it.failed for it in results]),
        table.figure(
            'VM-seconds below min_up', [it.short_vm_s for it in results]
        ),
    ]
    times = [time_s for item in results for time_s in item.step_s]
    if times:
        figures.append(
            table.figure('processor ms a step', [1000 * it for it in times])
        )
    return figures


def _against_bounds(shape, fleets, numbers, results, name):
    """Compare with the bounds; the goals are for Ascensia's size."""
    slow = []
    in_place = []
    moved = []
    for drawn, number, result in zip(fleets, numbers, results):
        duration_s = draw_durations(drawn, number)
        slow.append(result.end_s / bounds.least_roll_out_s(drawn, duration_s))
        least_s = bounds.least_roll_out_in_place_s(drawn, duration_s)
        in_place.append(result.end_s / least_s)
        least = bounds.least_moves(drawn)
        moved.append(result.moves / least if least else 1 + result.moves)
    judged = shape is inputs.ASCENSIA and name == OURS
    return [
        _goal('roll-out, of the bound', slow, ROLL_OUT_GOAL, judged),
        _goal(
            'roll-out, of the bound with least moves',
            in_place,
            ROLL_OUT_GOAL,
            judged,
        ),
        _goal('moves, of the bound', moved, MOVES_GOAL, judged),
    ]


def _goal(name, values, goal, judged) -> table.Figure:
    if not judged:
        return table.figure(name, values)
    met = statistics.median(values) <= goal
    return table.figure(name, values, f'<= {goal}', met)


def _bound(shape, fleets, numbers) -> table.Row:
    least_s = [
        bounds.least_roll_out_s(drawn, draw_durations(drawn, number))
        for drawn, number in zip(fleets, numbers)
    ]
    in_place_s = [
        bounds.least_roll_out_in_place_s(drawn, draw_durations(drawn, number))
        for drawn, number in zip(fleets, numbers)
    ]
    moves = [bounds.least_moves(drawn) for drawn in fleets]
    figures = (
        table.figure('roll-out s, any number of moves', least_s),
        table.figure('roll-out s, least moves', in_place_s),
        table.figure('moves', moves),
    )
    return table.Row('waves', shape.name, 'bound', len(fleets), figures)


def _design(seed: int, seeds: int) -> table.Row:
    """Run the beginning of waves at the design size."""
    results = []
    for number in range(seed, seed + seeds):
        drawn = inputs.generate(inputs.DESIGN, number)
        results.append(
            run(drawn, number, Faults(), this_version, DESIGN_EVENTS)
        )
    times = [1000 * time_s for item in results for time_s in item.step_s]
    breaches = [item.breaches for item in results]
    median = statistics.median(times)
    figures = (
        table.figure('breaches', breaches, '0', max(breaches) == 0),
        table.figure('promises broken', [item.unsafe for item in results]),
        table.figure(
            'processor ms a step',
            times,
            f'< {STEP_GOAL_MS:.0f}',
            median < STEP_GOAL_MS,
        ),
    )
    way = f'{OURS}, first {DESIGN_EVENTS} events'
    return table.Row('waves', inputs.DESIGN.name, way, seeds, figures)


def this_version(world: World) -> Decision:
    """Decide as the daemons do: a batch, then the moves if it is empty."""
    start_s = time.process_time()
    decision = _step(world)
    world.result.step_s.append(time.process_time() - start_s)
    return decision


def _step(world: World) -> Decision:
    drawn = world.drawn
    batch = wave.next_batch(
        drawn.wave,
        world.progress,
        drawn.pools,
        world.rows.values(),
        world.now_s,
        drawn.weights,
        wave.Conditions(drawn.sites, world.spent),
    )
    done = batch.phase in (wave.Phase.DONE, wave.Phase.GIVEN_UP)
    if batch.take or done:
        return Decision(batch.take, (), done)
    moves = buffer.assign(
        drawn.pools,
        world.rows.values(),
        drawn.sites,
        drawn.weights,
        world.now_s,
        batch.loans,
        world.pending,
    )
    if not world.result.phases or world.result.phases[-1] != batch.phase:
        world.result.phases.append(batch.phase)
    return Decision((), moves)


def fixed_share(world: World) -> Decision:
    """Take a tenth of each pool at a time, whatever is promised."""
    finished = {item.vm for item in world.progress.outcomes}
    left = [vm for vm in world.progress.targets if vm not in finished]
    out = {}
    take = []
    for row in world.rows.values():
        if not reserve.is_up(row):
            out[row.pool] = out.get(row.pool, 0) + 1
    sizes = {pool.name: pool.size for pool in world.drawn.pools}
    for vm in left:
        row = world.rows[vm]
        width = max(1, round(0.1 * sizes.get(row.pool, 1)))
        if reserve.is_up(row) and out.get(row.pool, 0) < width:
            out[row.pool] = out.get(row.pool, 0) + 1
            take.append(vm)
    return Decision(tuple(take), (), _all_done(world, left))


def rack_by_rack(world: World) -> Decision:
    """Take one whole rack after the other, whatever is promised."""
    finished = {item.vm for item in world.progress.outcomes}
    left = [vm for vm in world.progress.targets if vm not in finished]
    waiting = [vm for vm in left if reserve.is_up(world.rows[vm])]
    busy = any(world.rows[vm].state is fleet.VmState.DRAINING for vm in left)
    if busy or not waiting:
        return Decision((), (), _all_done(world, left))
    first = min(world.drawn.sites[vm] for vm in waiting)
    take = [vm for vm in waiting if world.drawn.sites[vm] == first]
    return Decision(tuple(take), ())


def run(
    drawn: inputs.Fleet,
    seed: int,
    faults: Faults,
    decide: collections.abc.Callable[[World], Decision],
    max_events: int = MAX_EVENTS,
) -> Result:
    """Run one wave to its end, or until nothing more happens."""
    world = _world(drawn, seed, faults)
    if faults.rack is not None:
        _later(world, faults.rack_at_s, _lose_rack)
    for _ in range(max_events):
        if _decide(world, decide):
            break
        if not world.events:
            break
        _advance(world)
    finished = {item.vm for item in world.progress.outcomes}
    world.result.left = sum(
        vm not in finished and world.rows[vm].state is not _BROKEN
        for vm in world.progress.targets
    )
    world.result.end_s = world.now_s
    world.result.overspent = sum(
        budget.left_s(pool, world.spent.get(pool.name)) < 0
        for pool in drawn.pools
    )
    return world.result


def draw_faults(drawn: inputs.Fleet, seed: int) -> Faults:
    """Draw a wave's faults: a third each bad image, rack loss, neither.

    Single failures at the rate of an ordinary day come on top.
    """
    rng = random.Random(f'faults {drawn.name} {seed}')
    share = inputs.VM_FAILURES_A_DAY
    fails = frozenset(vm for vm in drawn.sites if rng.random() < share)
    kind = seed % 3
    if kind == 1:
        return Faults(fails, 2400.0, 0.5)
    if kind == 2:
        racks = sorted(set(drawn.sites.values()))
        return Faults(
            fails, rack=rng.choice(racks), rack_at_s=rng.uniform(300, 2400)
        )
    return Faults(fails)


def draw_durations(drawn: inputs.Fleet, seed: int) -> dict[ids.VmId, float]:
    """Draw drain and reboot of each VM."""
    rng = random.Random(f'durations {drawn.name} {seed}')
    return {
        vm: rng.uniform(30, 120) + rng.uniform(150, 300) for vm in drawn.sites
    }


OURS = 'this version'
WAYS = {
    OURS: this_version,
    'a tenth of each pool': fixed_share,
    'one rack at a time': rack_by_rack,
}

_BROKEN = fleet.VmState.BROKEN


def _world(drawn: inputs.Fleet, seed: int, faults: Faults) -> World:
    return World(
        drawn=drawn,
        rows={row.vm: row for row in drawn.rows},
        duration_s=draw_durations(drawn, seed),
        faults=faults,
        rng=random.Random(f'wave {drawn.name} {seed}'),
        progress=wave.begin(drawn.wave, drawn.rows, 0.0),
        result=Result(),
    )


def _all_done(world: World, left: list[ids.VmId]) -> bool:
    return all(world.rows[vm].state is _BROKEN for vm in left)


def _later(world: World, at_s: float, act, *parameters) -> None:
    heapq.heappush(world.events, (at_s, next(world.order), act, parameters))


def _advance(world: World) -> None:
    """Go to the next event, or by a step of time if that is sooner."""
    at_s, _, act, parameters = world.events[0]
    if at_s > world.now_s + STEP_S and _stands_still(world):
        _pass_time(world, world.now_s + STEP_S)
        return
    heapq.heappop(world.events)
    _pass_time(world, max(at_s, world.now_s))
    act(world, *parameters)


def _stands_still(world: World) -> bool:
    return not any(
        row.state is fleet.VmState.DRAINING for row in world.rows.values()
    )


def _pass_time(world: World, now_s: float) -> None:
    missing = 0
    for pool, up in _ups(world):
        missing += max(0, pool.min_up - up)
        name = ids.PoolId(pool.name)
        spent = world.spent.get(name, budget.Spent(name, 0.0))
        world.spent[name] = budget.accrue(pool, spent, up, now_s)
    world.result.short_vm_s += missing * (now_s - world.now_s)
    world.now_s = now_s


def _ups(world: World):
    counts = {}
    for row in world.rows.values():
        if reserve.is_up(row):
            counts[row.pool] = counts.get(row.pool, 0) + 1
    for pool in world.drawn.pools:
        yield pool, counts.get(pool.name, 0)


def _decide(world: World, decide) -> bool:
    """Decide until nothing more is decided; say whether the wave is done."""
    for _ in range(MAX_EVENTS):
        decision = decide(world)
        if decision.done:
            return True
        if not decision.take and not decision.moves:
            return False
        _carry_out(world, decision)
    raise AssertionError('decisions without end')


def _carry_out(world: World, decision: Decision) -> None:
    before = dict((pool.name, up) for pool, up in _ups(world))
    rows_before = dict(world.rows)
    finished = {item.vm for item in world.progress.outcomes}
    for vm in decision.take:
        world.result.twice += vm in finished
        _set(world, vm, fleet.VmState.DRAINING)
        _later(
            world,
            world.now_s + world.duration_s[vm],
            _come_back,
            vm,
            world.now_s,
        )
    for move in decision.moves:
        _move(world, move)
    for pool, up in _ups(world):
        if up < pool.min_up and up < before[pool.name]:
            world.result.breaches += 1
    if not _is_safe(world, world.rows):
        world.result.unsafe += _is_safe(world, rows_before)


def _is_safe(world: World, rows: dict[ids.VmId, fleet.VmRow]) -> bool:
    census = reserve.take_census(
        world.drawn.pools, rows.values(), world.drawn.sites
    )
    return reserve.holds(census)


def _set(world: World, vm: ids.VmId, state, pool=None) -> None:
    row = world.rows[vm]
    world.rows[vm] = msgspec.structs.replace(
        row,
        state=state,
        pool=row.pool if pool is None else pool,
        epoch=ids.Epoch(row.epoch + 1),
        wave=ids.WaveId('w' if state is fleet.VmState.DRAINING else ''),
    )


def _move(world: World, move: buffer.Move) -> None:
    """Move a spare at once, another VM once it is released."""
    world.result.moves += 1
    row = world.rows[move.vm]
    if reserve.is_spare(row):
        _set(world, move.vm, fleet.VmState.SERVING, move.to_pool)
        return
    _set(world, move.vm, fleet.VmState.RELEASING)
    world.pending.append(move)
    _later(world, world.now_s + MOVE_S, _arrive, move)


def _arrive(world: World, move: buffer.Move) -> None:
    world.pending.remove(move)
    if world.rows[move.vm].state is fleet.VmState.RELEASING:
        _set(world, move.vm, fleet.VmState.SERVING, move.to_pool)


def _come_back(world: World, vm: ids.VmId, taken_at_s: float) -> None:
    if world.rows[vm].state is not fleet.VmState.DRAINING:
        return
    bad = (
        world.now_s < world.faults.bad_until_s
        and world.rng.random() < world.faults.bad_share
    )
    failed = bad or vm in world.faults.fails
    _record(world, vm, taken_at_s, failed)
    if failed:
        _break(world, vm)
    else:
        _set(world, vm, fleet.VmState.SERVING)


def _record(
    world: World, vm: ids.VmId, taken_at_s: float, failed: bool
) -> None:
    outcome = failure_estimate.Outcome(vm, taken_at_s, world.now_s, failed)
    world.progress = msgspec.structs.replace(
        world.progress, outcomes=(*world.progress.outcomes, outcome)
    )
    world.result.done += not failed
    world.result.failed += failed


def _break(world: World, vm: ids.VmId) -> None:
    _set(world, vm, _BROKEN)
    _later(world, world.now_s + REPLACE_S, _replace, vm)


def _replace(world: World, vm: ids.VmId) -> None:
    _set(world, vm, fleet.VmState.SERVING)


def _lose_rack(world: World) -> None:
    for vm, site in world.drawn.sites.items():
        if site == world.faults.rack:
            if world.rows[vm].state is not _BROKEN:
                _break(world, vm)
