"""Access to generated fleets of the sizes that are measured."""

import dataclasses
import functools
import random

from oleanderwood import buffer
from oleanderwood import buffer_size
from oleanderwood import buffer_swap
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import reserve

RACK_SIZE = 4
REGION = 'r1'

SPARE_SHARE = 0.4
"""VMs offered beyond the pools' sizes, before the sizing."""

SEEDS_A_DESIGN = 20
"""Of so many seeds one is measured at the design size: it takes long."""

MAX_SWAPS = 4
"""Swaps that one spare less is worth, before anything serves."""

DAY_S = 24 * 3600.0
VM_FAILURES_A_DAY = 16 / 1000
"""Per VM: 16 of the design's 1,000 fail on an ordinary day."""

RACK_LOSS_S = 45 * DAY_S
"""A rack or switch goes every month or two."""


@dataclasses.dataclass(frozen=True)
class Fleet:
    """Pools, VMs and what the operators weigh.

    ``absent`` is how many VMs the spare is sized for to be out at once.
    """

    name: str
    pools: tuple[configuration.Pool, ...]
    rows: tuple[fleet.VmRow, ...]
    sites: dict[ids.VmId, reserve.Site]
    weights: configuration.Weights
    wave: configuration.Wave
    absent: int


@dataclasses.dataclass(frozen=True)
class Shape:
    """What a fleet is generated from; pairs are (value, odds)."""

    name: str
    regions: tuple[tuple[str, ...], ...]
    """The data centres of each region."""

    pools: int
    sizes: tuple[tuple[int, int], ...]
    slacks: tuple[tuple[int, int], ...]
    """``size - min_up``."""

    survives: tuple[tuple[configuration.Survives, int], ...]
    weights: configuration.Weights
    deadline_s: float


_SURVIVES = (
    (configuration.Survives.VM, 3),
    (configuration.Survives.RACK, 6),
    (configuration.Survives.DATA_CENTRE, 1),
)

KLAPA = Shape(
    name='Klapa',
    regions=(('lj1', 'lj2', 'lj3'),),
    pools=10,
    sizes=((5, 1), (6, 3), (7, 1)),
    slacks=((0, 3), (1, 1)),
    survives=_SURVIVES,
    weights=configuration.Weights(buffer=10.0, roll_out=1.0, moves=2.0),
    deadline_s=8 * 3600.0,
)

ASCENSIA = Shape(
    name='Ascensia',
    regions=(('ba1', 'ba2', 'ba3', 'ba4'),),
    pools=10,
    sizes=((7, 1), (8, 3), (9, 1)),
    slacks=((0, 1), (1, 1), (2, 1)),
    survives=_SURVIVES,
    weights=configuration.Weights(buffer=1.0, roll_out=4.0, moves=4.0),
    deadline_s=4 * 3600.0,
)

DESIGN = Shape(
    name='design size',
    regions=(('d1', 'd2', 'd3'), ('d4', 'd5')),
    pools=260,
    sizes=((2, 1), (3, 3), (4, 3), (5, 2), (6, 1)),
    slacks=((0, 2), (1, 2), (2, 1)),
    survives=_SURVIVES,
    weights=configuration.Weights(buffer=2.0, roll_out=2.0, moves=2.0),
    deadline_s=8 * 3600.0,
)


@functools.lru_cache(maxsize=64)
def generate(shape: Shape, seed: int) -> Fleet:
    """Draw a fleet, assign its VMs and hand back the spares not needed."""
    drawn = candidates(shape, seed)
    assigned = carry_out(
        drawn,
        buffer.assign(
            drawn.pools, drawn.rows, drawn.sites, drawn.weights, 0.0
        ),
    )
    sizing = buffer_size.size(
        assigned.pools,
        assigned.rows,
        assigned.sites,
        assigned.absent,
        MAX_SWAPS if shape is not DESIGN else 0,
    )
    assigned = _exchange(assigned, sizing.swaps)
    surplus = set(sizing.surplus)
    return dataclasses.replace(
        assigned,
        rows=tuple(row for row in assigned.rows if row.vm not in surplus),
        sites={
            vm: site
            for vm, site in assigned.sites.items()
            if vm not in surplus
        },
    )


def design_seeds(seeds: int) -> int:
    """Say how many seeds to measure at the design size."""
    return max(1, seeds // SEEDS_A_DESIGN)


def candidates(shape: Shape, seed: int) -> Fleet:
    """Draw pools and unassigned VMs."""
    rng = random.Random(f'{shape.name} {seed}')
    pools = tuple(_pool(shape, rng, index) for index in range(shape.pools))
    sites = {}
    for centres in shape.regions:
        named = [
            pool for pool in pools if set(pool.data_centres) <= set(centres)
        ]
        wanted = sum(pool.size for pool in named)
        wanted += max(8, round(wanted * SPARE_SHARE))
        sites |= _sites(centres, wanted)
    names = tuple(pool.name for pool in pools)
    spares = tuple(
        fleet.spare_pool(ids.DataCentre(name))
        for centres in shape.regions
        for name in centres
    )
    wave = configuration.Wave(
        name='w', pools=(*names, *spares), deadline_s=shape.deadline_s
    )
    absent = buffer_size.absent_for(
        shape.weights, pools, len(sites), RACK_SIZE, wave.deadline_s
    )
    rows = tuple(
        _row(vm, site, fleet.spare_pool(site.data_centre))
        for vm, site in sites.items()
    )
    return Fleet(shape.name, pools, rows, sites, shape.weights, wave, absent)


def _exchange(drawn: Fleet, swaps: tuple[buffer_swap.Swap, ...]) -> Fleet:
    census = reserve.take_census(drawn.pools, drawn.rows, drawn.sites)
    for swap in swaps:
        buffer_swap.carry_out(census, swap)
    return dataclasses.replace(drawn, rows=tuple(census.rows.values()))


def carry_out(drawn: Fleet, moves: tuple[buffer.Move, ...]) -> Fleet:
    """Put VMs into the pools that they were moved to."""
    target = {move.vm: move.to_pool for move in moves}
    rows = tuple(
        _row(row.vm, drawn.sites[row.vm], target.get(row.vm, row.pool))
        for row in drawn.rows
    )
    return dataclasses.replace(drawn, rows=rows)


def _pool(shape: Shape, rng: random.Random, index: int) -> configuration.Pool:
    centres = rng.choice(shape.regions) if index else shape.regions[0]
    size = _draw(rng, shape.sizes)
    survives = _draw(rng, shape.survives)
    count = len(centres)
    if rng.random() < 0.2 and count > 2:
        count -= 1
    chosen = tuple(sorted(rng.sample(centres, count)))
    return configuration.Pool(
        name=f'p{index}',
        service=f's{index // 2}',
        region=REGION,
        data_centres=chosen,
        size=size,
        min_up=max(1, size - _draw(rng, shape.slacks)),
        survives=survives,
    )


def _draw(rng, pairs):
    values, odds = zip(*pairs)
    return rng.choices(values, odds)[0]


def _sites(centres, count) -> dict[ids.VmId, reserve.Site]:
    sites = {}
    for index in range(count):
        centre = centres[index // RACK_SIZE % len(centres)]
        rack = index // RACK_SIZE // len(centres)
        vm = ids.VmId(f'{centre}-{rack:03}-{index % RACK_SIZE}')
        sites[vm] = reserve.Site(
            ids.DataCentre(centre), ids.Rack(f'{centre}-{rack:03}')
        )
    return sites


def _row(vm, site, pool) -> fleet.VmRow:
    return fleet.VmRow(
        vm,
        pool,
        fleet.VmState.SERVING,
        ids.Epoch(1),
        site.rack,
        ids.Address('127.0.0.1:1'),
    )
