"""Access to ``python -m measure.slopes``: what each daemon costs by size.

Starts small deployments on loopback, grows one variable at a time, reads
what each daemon spends at rest, through configuration changes and through
a wave, and fits a line to each figure. Prints a table; writes a plot and,
with ``--json``, the points.
"""

import collections.abc
import dataclasses
import pathlib
import statistics
import sys
import time
import typing

import curio
import cyclopts
import msgspec
import numpy

from demo import daemons
from demo import deployments
from demo import processes
from measure import slope_files
from measure import slope_process

SETTLE_S = 4.0
WINDOW_S = 10.0
CONCURRENT = 3
FILLING_TIMEOUT_S = 90.0

BASE = slope_files.Shape()
SIZES: dict[str, tuple[int, ...]] = {
    'vms': (100, 250, 500, 1000),
    'pools': (10, 40, 90, 200),
    'teams': (10, 70, 150, 290),
    'entries': (2, 4, 6, 8),
    'changes': (1, 2, 4, 8),
}
FIXED = {
    'pools': {'vms': 400},
    'changes': {'pools': 40, 'vms': 200, 'teams': 100},
}
"""What stays at another value than the base's while one variable grows."""

DESIGN = {
    'vms': 1000,
    'pools': 260,
    'teams': 290,
    'entries': 8,
    'changes': 8,
}

app = cyclopts.App(name='slopes', help='Measure what the daemons cost.')


class Point(msgspec.Struct, frozen=True):
    """The figures of one daemon at one size."""

    variable: str
    value: int
    daemon: str
    figures: dict[str, float]


class Slope(msgspec.Struct, frozen=True):
    """A line through one figure's points.

    :ivar residual: largest distance of a point from the line
    :ivar design: what the line gives at the design size
    """

    daemon: str
    figure: str
    variable: str
    base: float
    slope: float
    residual: float
    design: float


def shapes(
    only: str,
) -> collections.abc.Iterator[tuple[str, int, slope_files.Shape]]:
    """Give the shapes to measure: each variable at each of its sizes."""
    for variable, values in SIZES.items():
        if only not in ('', variable):
            continue
        for value in values:
            wanted = {**FIXED.get(variable, {}), variable: value}
            yield variable, value, dataclasses.replace(BASE, **wanted)


async def measure(run: processes.Run, only: str) -> list[Point]:
    """Measure all shapes, a few at a time."""
    points: list[Point] = []
    free = curio.Semaphore(CONCURRENT)

    async def one(number, variable, value, shape) -> None:
        async with free:
            start_s = time.monotonic()
            try:
                points.extend(
                    await _point(run, number, variable, value, shape)
                )
            except processes.StartFailed as error:
                print(f'{variable}={value}: not measured: {error}')
                return
            took_s = time.monotonic() - start_s
            print(f'{variable}={value}: {took_s:.0f} s', flush=True)

    async with curio.TaskGroup(wait=all) as group:
        for number, (variable, value, shape) in enumerate(shapes(only)):
            await group.spawn(one, number, variable, value, shape)
    return points


async def _point(
    run: processes.Run,
    number: int,
    variable: str,
    value: int,
    shape: slope_files.Shape,
) -> list[Point]:
    name = f'{variable}-{value}'
    file = run.directory / f'{name}.toml'
    file.write_text(slope_files.text(shape, 0))
    size = deployments.Size(entries=shape.entries, controllers=1, admins=1)
    deployment = await deployments.start(run, name, file, size, number)
    try:
        await daemons.start_all(deployment)
        return await _figures(deployment, variable, value, shape)
    finally:
        for child in run.children.values():
            if child.name.startswith(f'{name}-'):
                processes.kill(child)


async def _figures(
    deployment: deployments.Deployment,
    variable: str,
    value: int,
    shape: slope_files.Shape,
) -> list[Point]:
    await curio.sleep(SETTLE_S)
    first = await _read(deployment)
    await curio.sleep(WINDOW_S)
    second = await _read(deployment)
    in_force_s = await _change(deployment, shape)
    third = await _read(deployment)
    start_s = time.monotonic()
    await daemons.start_wave(deployment, 'w')
    await curio.sleep(WINDOW_S)
    wave_window_s = time.monotonic() - start_s
    fourth = await _read(deployment)
    writes = sum(
        fourth[daemon].shard_writes - third[daemon].shard_writes
        for daemon in first
    )
    points = []
    for daemon in first:
        figures = _rates(first[daemon], second[daemon], WINDOW_S, 'rest')
        figures |= _rates(third[daemon], fourth[daemon], wave_window_s, 'wave')
        figures |= _of_write(third[daemon], fourth[daemon], writes)
        figures['resident MB'] = fourth[daemon].resident_mb
        figures |= _of_change(second[daemon], third[daemon], shape.changes)
        if daemon == 'admin':
            figures['in force s'] = max(in_force_s)
        points.append(Point(variable, value, daemon, figures))
    return _merged(points)


def _merged(points: list[Point]) -> list[Point]:
    """Make one point of all entries: the median of each figure."""
    entries = [point for point in points if point.daemon.startswith('entry')]
    others = [point for point in points if point not in entries]
    names = entries[0].figures
    figures = {
        name: statistics.median(point.figures[name] for point in entries)
        for name in names
    }
    first = entries[0]
    return [Point(first.variable, first.value, 'entry', figures), *others]


async def _change(
    deployment: deployments.Deployment, shape: slope_files.Shape
) -> list[float]:
    """Apply changes one after the other; give the times until in force."""
    found = []
    for change in range(1, shape.changes + 1):
        text = slope_files.text(shape, change)
        file = deployment.file.with_suffix(f'.{change}.toml')
        file.write_text(text)
        answer = await daemons.ctl(deployment, 'apply', str(file))
        if answer.status:
            raise processes.StartFailed(f'apply: {answer}')
        found.append(float(answer.json()['in_force_s']))
    return found


async def _read(
    deployment: deployments.Deployment,
) -> dict[str, slope_process.Spent]:
    found = {}
    for number, vm in enumerate(deployment.vms):
        for kind, child in vm.daemons.items():
            entry = kind is daemons.Kind.ENTRY
            name = f'entry-{number}' if entry else kind.value
            probes = daemons.probes(vm, kind)
            found[name] = await slope_process.read(child.popen.pid, probes)
    return found


def _rates(
    before: slope_process.Spent,
    after: slope_process.Spent,
    window_s: float,
    name: str,
) -> dict[str, float]:
    def rate(field: str) -> float:
        return (getattr(after, field) - getattr(before, field)) / window_s

    figures = {
        f'{name} core %': 100 * rate('processor_s'),
        f'{name} bytes/s': rate('control_bytes'),
        f'{name} store calls/s': rate('store_calls'),
        f'{name} watches/s': rate('watches'),
    }
    passes = after.passes - before.passes
    if passes:
        spent_s = after.pass_s - before.pass_s
        figures[f'{name} pass ms'] = 1000 * spent_s / passes
    return figures


def _of_change(
    before: slope_process.Spent, after: slope_process.Spent, changes: int
) -> dict[str, float]:
    """Give what one change cost, with what the time would have cost."""
    spent_s = after.processor_s - before.processor_s
    return {
        'change core ms': 1000 * spent_s / changes,
        'change bytes': (after.control_bytes - before.control_bytes) / changes,
        'change store calls': (after.store_calls - before.store_calls)
        / changes,
    }


def _of_write(
    before: slope_process.Spent, after: slope_process.Spent, writes: float
) -> dict[str, float]:
    """Give what a wave cost for each shard that was written."""
    if not writes:
        return {}
    spent_s = after.processor_s - before.processor_s
    return {
        'shard write core ms': 1000 * spent_s / writes,
        'shard write bytes': (after.control_bytes - before.control_bytes)
        / writes,
    }


def fit(points: list[Point]) -> list[Slope]:
    """Fit a line to each figure of each daemon over each variable."""
    groups: dict[tuple[str, str, str], list[tuple[int, float]]] = {}
    for point in points:
        for name, value in point.figures.items():
            key = (point.daemon, name, point.variable)
            groups.setdefault(key, []).append((point.value, value))
    found = [
        _line(*key, sorted(pairs))
        for key, pairs in groups.items()
        if len(pairs) >= 3
    ]
    return sorted(found, key=lambda s: (s.daemon, s.figure, s.variable))


def _line(
    daemon: str, name: str, variable: str, pairs: list[tuple[int, float]]
) -> Slope:
    x = numpy.array([pair[0] for pair in pairs], dtype=float)
    y = numpy.array([pair[1] for pair in pairs], dtype=float)
    slope, base = numpy.polyfit(x, y, 1)
    residual = float(numpy.max(numpy.abs(y - (base + slope * x))))
    design = float(base + slope * DESIGN[variable])
    return Slope(
        daemon, name, variable, float(base), float(slope), residual, design
    )


def table(slopes: list[Slope]) -> str:
    """Print the slopes as a table."""
    lines = [
        f'{"daemon":<11}{"figure":<22}{"over":<9}{"base":>10}'
        f'{"slope":>12}{"residual":>10}{"at design":>11}'
    ]
    lines += [
        f'{s.daemon:<11}{s.figure:<22}{s.variable:<9}{s.base:>10.2f}'
        f'{s.slope:>12.5f}{s.residual:>10.2f}{s.design:>11.2f}'
        for s in slopes
    ]
    return '\n'.join(lines)


def plot(points: list[Point], file: pathlib.Path) -> None:
    """Draw the figures with a budget over the variables."""
    import matplotlib

    matplotlib.use('Agg')
    from matplotlib import pyplot

    names = ('rest core %', 'wave core %', 'rest bytes/s', 'resident MB')
    variables = list(dict.fromkeys(point.variable for point in points))
    figure, axes = pyplot.subplots(
        len(names), len(variables), figsize=(15, 12), squeeze=False
    )
    for row, name in enumerate(names):
        for column, variable in enumerate(variables):
            axis = axes[row][column]
            _draw(axis, points, name, variable)
            axis.set_title(f'{name} by {variable}', fontsize=8)
    axes[0][0].legend(fontsize=7)
    figure.tight_layout()
    figure.savefig(file, dpi=80)


def _draw(
    axis: typing.Any, points: list[Point], name: str, variable: str
) -> None:
    chosen = [point for point in points if point.variable == variable]
    for daemon in dict.fromkeys(point.daemon for point in chosen):
        pairs = sorted(
            (point.value, point.figures[name])
            for point in chosen
            if point.daemon == daemon
        )
        axis.plot(*zip(*pairs), marker='o', label=daemon)


@app.default
def main(
    *,
    only: str = '',
    json: typing.Annotated[bool, cyclopts.Parameter(negative='')] = False,
    plot_file: pathlib.Path | None = None,
) -> None:
    """Print a table of slopes.

    :param only: measure just this variable
    :param json: print the points as JSON after the table
    :param plot_file: where to write a plot (PNG)
    """
    start_s = time.monotonic()
    with processes.running() as run:
        points = curio.run(measure, run, only)
    print(table(fit(points)))
    if json:
        sys.stdout.write(msgspec.json.encode(points).decode() + '\n')
    if plot_file is not None:
        plot(points, plot_file)
    print(f'slopes: {len(points)} points, {time.monotonic() - start_s:.0f} s')


if __name__ == '__main__':
    app()
