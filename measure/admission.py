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
from oleanderwood import dispatch
from oleanderwood import retry
from oleanderwood import routing

KLAPA = events.Size('klapa', 6, 6, 3)
ASCENSIA = events.Size('ascensia', 8, 8, 4)
LARGE = events.Size('large', 16, 24, 5)

STEADY = events.Scenario('80% load', 0.8, 5.0)
SKEWED = events.Scenario('80%, half to one entry', 0.8, 4.0, skew=0.5)
OVERLOAD = events.Scenario('2x overload', 2.0, 4.0)


def outage(size: events.Size) -> events.Scenario:
    """Make a scenario in which all upstreams refuse for a while."""
    fault = events.Fault(1.0, 3.0, size.upstreams, silent=False)
    return events.Scenario('all upstreams out', 0.8, 4.0, fault)


def rack_loss(size: events.Size) -> events.Scenario:
    """Make a scenario in which a rack goes silent at a medium load."""
    fault = events.Fault(1.0, 4.0, size.rack, silent=True)
    left = (size.upstreams - size.rack) / size.upstreams
    return events.Scenario('rack lost', min(0.8, 0.9 * left), 5.0, fault)


class Row(msgspec.Struct, frozen=True):
    """One way under one scenario: medians, and the spread where given.

    :ivar wait_p99_ms: from arrival to the work's begin, of first attempts
    :ivar wait_ratio: of the p99 wait to that of one central queue, over the
        requests of all seeds; its range is of the single seeds' p99 waits
    :ivar goodput: work answered in time as a share of what was possible
    :ivar retry_load: retries as a share of fresh requests
    :ivar slow_refusals: refusals later than 50 ms after the arrival
    """

    scenario: str
    size: str
    way: str
    seeds: int
    wait_p99_ms: float
    wait_p99_low_ms: float
    wait_p99_high_ms: float
    urgent_p99_ms: float
    wait_ratio: float
    wait_ratio_low: float
    wait_ratio_high: float
    goodput: float
    goodput_low: float
    refused: float
    late: float
    slow_refusals: int
    retry_load: float
    retry_load_high: float
    local: float
    breaches: int
    decision_us: float


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


THIS = 'this version'
WAYS = {
    THIS: dispatch.Policy(),
    'random': dispatch.Policy(choose=choose_random),
    'least outstanding': dispatch.Policy(choose=choose_least),
    'two choices, gossip': dispatch.Policy(choose=choose_two),
    'static share': dispatch.Policy(limit=limit_to_share),
    'credits, gossip': dispatch.Policy(limit=limit_to_credits),
    'queue at upstreams': dispatch.Policy(limit=limit_to_connections),
    'fixed 3 attempts': dispatch.Policy(spend=always),
}
ROUTING_WAYS = (
    THIS,
    'random',
    'least outstanding',
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
    listed = []
    for size in (KLAPA, ASCENSIA):
        listed += [Cell(size, STEADY, way) for way in ROUTING_WAYS]
        for way in (THIS, 'static share'):
            listed.append(Cell(size, SKEWED, way))
        for way in (THIS, 'queue at upstreams'):
            listed.append(Cell(size, OVERLOAD, way))
        for way in (THIS, 'fixed 3 attempts'):
            listed.append(Cell(size, outage(size), way))
            listed.append(Cell(size, rack_loss(size), way))
    short = dataclasses.replace(STEADY, length_s=2.0)
    listed.append(Cell(LARGE, short, THIS))
    short = dataclasses.replace(OVERLOAD, length_s=2.0)
    listed.append(Cell(LARGE, short, THIS))
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
    return total_s


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


def _ratio(samples: list[Sample]) -> float:
    """Give the ratio of the p99 waits of all seeds taken together."""
    waits_s = [wait_s for one in samples for wait_s in one.tally.waits_s]
    bound_s = _central_p99_s(samples)
    return _p99(waits_s) / bound_s if bound_s else math.nan


def _row(cell: Cell, samples: list[Sample]) -> Row:
    def median(values: collections.abc.Iterable[float]) -> float:
        return statistics.median(values)

    tallies = [one.tally for one in samples]
    waits_ms = [1000 * one.wait_p99_s for one in samples]
    bound_ms = 1000 * _central_p99_s(samples)
    ratios = [wait / bound_ms if bound_ms else math.nan for wait in waits_ms]
    retry_loads = [t.retries / max(1, t.fresh) for t in tallies]
    goodputs = [one.goodput for one in samples]
    steady = cell.scenario.fault is None and cell.scenario.load < 1
    return Row(
        scenario=cell.scenario.name,
        size=cell.size.name,
        way=cell.way,
        seeds=len(samples),
        wait_p99_ms=median(waits_ms),
        wait_p99_low_ms=min(waits_ms),
        wait_p99_high_ms=max(waits_ms),
        urgent_p99_ms=1000 * median(one.urgent_p99_s for one in samples),
        wait_ratio=_ratio(samples) if steady else math.nan,
        wait_ratio_low=min(ratios) if steady else math.nan,
        wait_ratio_high=max(ratios) if steady else math.nan,
        goodput=median(goodputs),
        goodput_low=min(goodputs),
        refused=median(t.refused / t.offered for t in tallies),
        late=median(t.late / t.offered for t in tallies),
        slow_refusals=sum(t.slow_refusals for t in tallies),
        retry_load=median(retry_loads),
        retry_load_high=max(retry_loads),
        local=median(t.local / max(1, t.fresh) for t in tallies),
        breaches=sum(t.breaches for t in tallies),
        decision_us=median(1e6 * t.decision_s / t.decisions for t in tallies),
    )


def rows(
    seed: int, seeds: int = 20, processes: int = 1, only: str = ''
) -> list[Row]:
    """Measure all lines.

    :param seed: the first of ``seeds`` seeds in a row
    :param only: a part of the scenario's, size's or way's name
    """
    listed = [
        cell
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


HEADINGS = (
    f'{"scenario":22} {"size":8} {"way":20} {"p99 wait ms (range)":>22}'
    f' {"urgent":>6} {"ratio (range)":>18} {"goodput":>7} {"lowest":>6}'
    f' {"refused":>7} {"late":>6} {"slow":>5} {"retries":>7} {"most":>6}'
    f' {"local":>5} {"breaches":>8} {"us":>5}'
)


def line(row: Row) -> str:
    """Write one row of the table for people."""
    waits = (
        f'{row.wait_p99_ms:.1f}'
        f' ({row.wait_p99_low_ms:.1f}-{row.wait_p99_high_ms:.1f})'
    )
    ratio = '-'
    if not math.isnan(row.wait_ratio):
        ratio = (
            f'{row.wait_ratio:.2f}'
            f' ({row.wait_ratio_low:.2f}-{row.wait_ratio_high:.2f})'
        )
    return (
        f'{row.scenario:22} {row.size:8} {row.way:20} {waits:>22}'
        f' {row.urgent_p99_ms:6.0f} {ratio:>18} {row.goodput:7.3f}'
        f' {row.goodput_low:6.3f} {row.refused:7.3f} {row.late:6.3f}'
        f' {row.slow_refusals:5} {row.retry_load:7.3f}'
        f' {row.retry_load_high:6.3f} {row.local:5.2f} {row.breaches:8}'
        f' {row.decision_us:5.1f}'
    )


def main(
    *,
    seed: int = 1,
    seeds: int = 20,
    processes: int = 1,
    only: str = '',
    json: bool = False,
) -> None:
    """Print the table.

    :param json: print the rows as JSON instead
    """
    measured = rows(seed, seeds, processes, only)
    if json:
        sys.stdout.buffer.write(msgspec.json.encode(measured) + b'\n')
        return
    print(HEADINGS)
    for row in measured:
        print(line(row))


if __name__ == '__main__':
    cyclopts.run(main)
