"""Access to the measurement of the shared spare's size."""

import statistics
import time

from measure import bounds
from measure import inputs
from measure import table
from oleanderwood import buffer
from oleanderwood import reserve

SHARE_OF_OPTIMUM = 1.15
SHARE_OF_PRIVATE = 0.6


def rows(seed: int, seeds: int) -> list[table.Row]:
    """Measure the buffer cost at all sizes.

    Buffer cost is the VMs held beyond the sum of all ``min_up``.
    """
    few = inputs.design_seeds(seeds)
    return [
        *_size(inputs.KLAPA, seed, seeds),
        *_size(inputs.ASCENSIA, seed, seeds),
        *_size(inputs.DESIGN, seed, few),
    ]


def _size(shape: inputs.Shape, seed: int, seeds: int) -> list[table.Row]:
    """Measure one size; the optimum is found for the small ones only."""
    fleets = [inputs.generate(shape, seed + n) for n in range(seeds)]
    minima = [sum(pool.min_up for pool in it.pools) for it in fleets]
    held = [len(it.rows) - low for it, low in zip(fleets, minima)]
    private = [
        sum(map(bounds.private_buffer, drawn.pools)) for drawn in fleets
    ]
    found = [_row(shape, 'private buffer per pool', private, minima, [])]
    extra = [
        _against('of the private buffer', held, private, SHARE_OF_PRIVATE)
    ]
    if shape is not inputs.DESIGN:
        best, proven = _least(shape, fleets, seed)
        name = f'optimum (proven for {proven} of {seeds})'
        found.append(_row(shape, name, best, minima, []))
        goal = SHARE_OF_OPTIMUM if shape is inputs.KLAPA else None
        extra.append(_against('of the optimum', held, best, goal))
        spares = [_spares(drawn) for drawn in fleets]
        least = [
            total - (held_here - spare)
            for total, held_here, spare in zip(best, held, spares)
        ]
        extra.append(_against('spares alone, of the optimum', spares, least))
    extra.append(table.figure('processor ms a decision', _times(fleets)))
    return [_row(shape, 'this version', held, minima, extra), *found]


def _row(shape, way, held, minima, extra) -> table.Row:
    shares = [count / low for count, low in zip(held, minima)]
    figures = (
        table.figure('VMs beyond all min_up', held),
        table.figure('as a share of all min_up', shares),
        *extra,
    )
    return table.Row('buffer', shape.name, way, len(held), figures)


def _against(name, values, others, goal: float | None = None) -> table.Figure:
    ratios = [value / other for value, other in zip(values, others) if other]
    if goal is None:
        return table.figure(name, ratios or [0.0])
    met = statistics.median(ratios) <= goal
    return table.figure(name, ratios, f'<= {goal}', met)


def _spares(drawn: inputs.Fleet) -> int:
    return sum(reserve.is_spare(row) for row in drawn.rows)


def _least(shape, fleets, seed) -> tuple[list[int], int]:
    """Find the optimum over the VMs that the sizing could choose from."""
    found = []
    proven = 0
    for number, drawn in enumerate(fleets):
        offered = inputs.candidates(shape, seed + number)
        spares, is_optimum = bounds.least_spare(offered)
        slack = sum(pool.size - pool.min_up for pool in drawn.pools)
        found.append(spares + slack)
        proven += is_optimum
    return found, proven


def _times(fleets: list[inputs.Fleet]) -> list[float]:
    """Take the processor time of a decision on a settled fleet."""
    found = []
    for drawn in fleets:
        start_s = time.process_time()
        buffer.assign(drawn.pools, drawn.rows, drawn.sites, drawn.weights, 0.0)
        found.append(1000 * (time.process_time() - start_s))
    return found
