"""Access to the measurement of admission, routing, retries and ejection.

Run it with ``python -m measure.admission --seed 1``. The decisions of
``oleanderwood.dispatch`` get generated requests and faults; one row tells
of one way under one scenario, with medians and spread over the seeds.
"""

import collections.abc
import concurrent.futures
import dataclasses
import math
import random
import statistics
import sys

import cyclopts
import msgspec

from measure import admission_events as events
from measure import table
from oleanderwood import dispatch
from oleanderwood import retry
from oleanderwood import routing

MIN_GOODPUT = 0.95
"""Goal at overload, as a share of the capacity."""

KLAPA = events.Size('klapa', 6, 6, 3)
ASCENSIA = events.Size('ascensia', 8, 8, 4)
LARGE = events.Size('large', 16, 24, 5)

STEADY = events.Scenario('80% load', 0.8, 2.0)
SKEWED = events.Scenario('80%, half to one entry', 0.8, 2.0, skew=0.5)
OVERLOAD = events.Scenario('2x overload', 2.0, 2.0)


def outage(size: events.Size) -> events.Scenario:
    """Make a scenario in which all upstreams refuse for a while."""
    fault = events.Fault(0.5, 1.5, size.upstreams, silent=False)
    return events.Scenario('all upstreams out', 0.8, 2.0, fault)


def rack_loss(size: events.Size) -> events.Scenario:
    """Make a scenario in which a rack goes silent at a medium load."""
    fault = events.Fault(0.5, 2.5, size.rack, silent=True)
    left = (size.upstreams - size.rack) / size.upstreams
    return events.Scenario('rack lost', min(0.8, 0.9 * left), 3.0, fault)


def stretch(scenario: events.Scenario, scale: float) -> events.Scenario:
    """Make all times of a scenario longer but those of single requests."""
    fault = scenario.fault
    if fault is not None:
        fault = dataclasses.replace(
            fault, from_s=fault.from_s * scale, to_s=fault.to_s * scale
        )
    return dataclasses.replace(
        scenario, length_s=scenario.length_s * scale, fault=fault
    )


# The baselines.


def choose_random(
    candidates: collections.abc.Sequence[routing.Upstream],
    rng: random.Random,
) -> routing.Upstream | None:
    """Pick any upstream with room."""
    free = [up for up in candidates if up.in_flight < up.limit]
    return rng.choice(free) if free else None


def choose_least(
    candidates: collections.abc.Sequence[routing.Upstream],
    rng: random.Random,
) -> routing.Upstream | None:
    """Pick the fewest own requests; equals at random."""
    free = [up for up in candidates if up.in_flight < up.limit]
    if not free:
        return None
    return min(free, key=lambda up: (up.in_flight, rng.random()))


def choose_two(
    candidates: collections.abc.Sequence[routing.Upstream],
    rng: random.Random,
) -> routing.Upstream | None:
    """Pick the better of two by gossiped headroom.

    The headroom goes down with each own placement, as in the paper.
    """
    free = [up for up in candidates if up.in_flight < up.limit]
    if len(free) < 2:
        return free[0] if free else None
    pair = rng.sample(free, 2)
    return min(pair, key=lambda up: up.in_flight + up.peer_load)


def limit_to_credits(upstream: routing.Upstream, entries: int) -> int:
    """Limit an entry to its slots and those that nobody else used."""
    unused = upstream.slots - upstream.peer_load
    return max(1, upstream.slots // entries, math.floor(unused))


def limit_to_share(upstream: routing.Upstream, entries: int) -> int:
    """Limit an entry to its share of the slots and a little more."""
    return routing.share(upstream.slots, entries) + routing.OVERFILL


def limit_to_connections(upstream: routing.Upstream, entries: int) -> int:
    """Leave all queueing to the upstreams."""
    return upstream.connections


def always(budget: retry.Budget) -> bool:
    """Retry up to the fixed count of attempts."""
    return True


PROCESSES = 2

THIS = 'this version'
LEAST = 'least outstanding'
WAYS = {
    THIS: dispatch.Policy(),
    'random': dispatch.Policy(choose=choose_random),
    LEAST: dispatch.Policy(choose=choose_least),
    'two choices, gossip': dispatch.Policy(choose=choose_two),
    'static share': dispatch.Policy(limit=limit_to_share),
    'credits, gossip': dispatch.Policy(limit=limit_to_credits),
    'queue at upstreams': dispatch.Policy(limit=limit_to_connections),
    'fixed 3 attempts': dispatch.Policy(spend=always, needs_hope=False),
}
ROUTING_WAYS = (
    THIS,
    'random',
    LEAST,
    'two choices, gossip',
    'credits, gossip',
)


@dataclasses.dataclass(frozen=True)
class Cell:
    """One line of the table."""

    size: events.Size
    scenario: events.Scenario
    way: str


def cells() -> list[Cell]:
    """List the lines of the table."""
    listed = [Cell(KLAPA, STEADY, way) for way in (THIS, LEAST)]
    listed += [Cell(ASCENSIA, STEADY, way) for way in ROUTING_WAYS]
    for way in (THIS, 'static share'):
        listed.append(Cell(ASCENSIA, SKEWED, way))
    listed.append(Cell(KLAPA, OVERLOAD, THIS))
    for way in (THIS, 'queue at upstreams'):
        listed.append(Cell(ASCENSIA, OVERLOAD, way))
    listed.append(Cell(KLAPA, outage(KLAPA), THIS))
    for way in (THIS, 'fixed 3 attempts'):
        listed.append(Cell(ASCENSIA, outage(ASCENSIA), way))
        listed.append(Cell(KLAPA, rack_loss(KLAPA), way))
    listed.append(Cell(ASCENSIA, rack_loss(ASCENSIA), THIS))
    listed.append(Cell(LARGE, stretch(STEADY, 0.5), THIS))
    listed.append(Cell(LARGE, stretch(OVERLOAD, 0.5), THIS))
    return listed


@dataclasses.dataclass(frozen=True)
class Sample:
    """One seed of one line."""

    tally: events.Tally
    wait_p99_s: float
    urgent_p99_s: float
    central_waits_s: list[float]
    goodput: float


def _p99(values: list[float]) -> float:
    if not values:
        return 0.0
    return sorted(values)[int(0.99 * (len(values) - 1))]


def _possible_work_s(cell: Cell, arrivals: list[events.Arrival]) -> float:
    """Give the work that was asked for and could be done, per phase."""
    scenario, fault = cell.scenario, cell.scenario.fault
    slots = cell.size.upstreams * cell.size.slots
    if fault is None and scenario.load > 1:
        return slots * (scenario.length_s - events.WARM_UP_S)
    marks = [0.0, scenario.length_s]
    if fault is not None:
        marks[1:1] = [fault.from_s, fault.to_s]
    total_s = 0.0
    for index, (start_s, end_s) in enumerate(zip(marks, marks[1:])):
        usable = slots
        if fault is not None and index == 1:
            usable -= fault.count * cell.size.slots
        asked_s = sum(
            a.service_s for a in arrivals if start_s <= a.at_s < end_s
        )
        total_s += min(asked_s, usable * (end_s - start_s))
    return total_s - _cut_work_s(cell, arrivals)


def _cut_work_s(cell: Cell, arrivals: list[events.Arrival]) -> float:
    """Give the work that is in the upstreams when they go, about."""
    fault = cell.scenario.fault
    if fault is None:
        return 0.0
    running_s = sum(
        a.service_s
        for a in arrivals
        if a.at_s <= fault.from_s < a.at_s + a.service_s
    )
    return running_s * fault.count / cell.size.upstreams


def _good_work_s(cell: Cell, tally: events.Tally) -> float:
    if cell.scenario.fault is None and cell.scenario.load > 1:
        return tally.window_work_s
    return tally.good_work_s


def sample(cell: Cell, seed: int) -> Sample:
    """Run one seed of one line."""
    arrivals = events.generate(cell.size, cell.scenario, seed)
    tally = events.run(
        cell.size, cell.scenario, arrivals, WAYS[cell.way], seed
    )
    possible_s = _possible_work_s(cell, arrivals)
    return Sample(
        tally,
        _p99(tally.waits_s),
        _p99(tally.urgent_waits_s),
        events.central_waits_s(cell.size, arrivals),
        _good_work_s(cell, tally) / possible_s if possible_s else 1.0,
    )


def _central_p99_s(samples: list[Sample]) -> float:
    return _p99([wait_s for one in samples for wait_s in one.central_waits_s])


def _row(cell: Cell, samples: list[Sample]) -> table.Row:
    tallies = [one.tally for one in samples]
    steady = cell.scenario.fault is None and cell.scenario.load < 1
    overload = cell.scenario.load > 1
    figures = [
        table.figure(
            'p99 wait (ms)', [1000 * one.wait_p99_s for one in samples]
        ),
        table.figure(
            'p99 wait, urgent (ms)',
            [1000 * one.urgent_p99_s for one in samples],
        ),
    ]
    bound_s = _central_p99_s(samples)
    if steady and bound_s:
        ratios = [one.wait_p99_s / bound_s for one in samples]
        figures.append(
            _goal('p99 wait to one central queue', ratios, '<= 1.5', 1.5)
        )
    goodputs = [one.goodput for one in samples]
    if overload:
        worst = statistics.median(goodputs)
        met = worst >= MIN_GOODPUT
        figures.append(
            table.figure('goodput', goodputs, f'>= {MIN_GOODPUT}', met)
        )
    else:
        figures.append(table.figure('goodput', goodputs))
    shares = {
        'refused': [t.refused / t.offered for t in tallies],
        'late': [t.late / t.offered for t in tallies],
        'in the own data centre': [t.local / t.fresh for t in tallies],
    }
    figures += [table.figure(name, values) for name, values in shares.items()]
    retries = [t.retries / t.fresh for t in tallies]
    if _is_outage(cell):
        figures.append(
            _goal('retries to fresh requests', retries, '<= 0.1', 0.1)
        )
    else:
        figures.append(table.figure('retries to fresh requests', retries))
    zeros = {
        'refusals later than 50 ms': [t.slow_refusals for t in tallies],
        'breaches': [t.breaches for t in tallies],
    }
    for name, counts in zeros.items():
        figures.append(table.figure(name, counts, '0', not any(counts)))
    costs_us = [1e6 * t.decision_s / t.decisions for t in tallies]
    figures.append(table.figure('processor time a decision (us)', costs_us))
    size = f'{cell.size.name}, {cell.scenario.name}'
    return table.Row('admission', size, cell.way, len(samples), tuple(figures))


def _goal(
    name: str, values: list[float], goal: str, most: float
) -> table.Figure:
    """Sum up a figure whose median must not exceed its goal."""
    met = statistics.median(values) <= most
    return table.figure(name, values, goal, met)


def _is_outage(cell: Cell) -> bool:
    fault = cell.scenario.fault
    return fault is not None and fault.count == cell.size.upstreams


def rows(
    seed: int,
    seeds: int = 20,
    processes: int = PROCESSES,
    only: str = '',
    scale: float = 1.0,
) -> list[table.Row]:
    """Measure all lines.

    :param seed: the first of ``seeds`` seeds in a row
    :param only: a part of the scenario's, size's or way's name
    :param scale: makes the scenarios longer
    """
    listed = [
        dataclasses.replace(cell, scenario=stretch(cell.scenario, scale))
        for cell in cells()
        if only in f'{cell.scenario.name}/{cell.size.name}/{cell.way}'
    ]
    jobs = [(cell, seed + n) for cell in listed for n in range(seeds)]
    if processes == 1:
        samples = [sample(*job) for job in jobs]
    else:
        with concurrent.futures.ProcessPoolExecutor(processes) as pool:
            samples = list(pool.map(sample, *zip(*jobs), chunksize=seeds))
    return [
        _row(cell, samples[index * seeds : (index + 1) * seeds])
        for index, cell in enumerate(listed)
    ]


def main(
    *,
    seed: int = 1,
    seeds: int = 20,
    processes: int = PROCESSES,
    only: str = '',
    scale: float = 1.0,
    json: bool = False,
) -> None:
    """Print the table.

    :param json: print the rows as JSON instead
    """
    measured = rows(seed, seeds, processes, only, scale)
    if json:
        sys.stdout.buffer.write(msgspec.json.encode(measured) + b'\n')
        return
    print(table.text(measured))


if __name__ == '__main__':
    cyclopts.run(main)
