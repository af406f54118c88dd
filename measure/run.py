"""Access to ``python -m measure.run``: a table for each decision."""

import concurrent.futures
import importlib
import importlib.util
import os
import sys
import time
import typing

import cyclopts
import msgspec

from measure import table

MODULES = ('waves', 'placement', 'admission', 'buffer')
"""The longest first."""

PROCESSES = 3
DEFAULT_SEEDS = 20
SHORT_SEEDS = {'admission': 5}
"""Seeds of the slow ones, so that the whole ends within a minute."""

app = cyclopts.App(name='measure', help='Measure the decisions.')


def measure_one(name: str, seed: int, seeds: int) -> tuple[float, list]:
    """Run one measurement.

    :returns: its seconds and its rows
    """
    module = importlib.import_module(f'measure.{name}')
    start_s = time.monotonic()
    rows = list(module.rows(seed, seeds))
    return time.monotonic() - start_s, rows


def measure(
    seed: int, seeds: int, only: str = '', whole: bool = False
) -> dict[str, tuple[float, list]]:
    """Run the measurements that there are, some at a time.

    :param only: one of ``MODULES``, '' for all
    :param whole: give the slow ones all seeds too
    """
    names = [name for name in MODULES if only in ('', name) and _exists(name)]
    limits = {} if whole else SHORT_SEEDS
    with concurrent.futures.ProcessPoolExecutor(
        PROCESSES, initializer=_print_to_stderr
    ) as pool:
        running = {
            name: pool.submit(
                measure_one, name, seed, min(seeds, limits.get(name, seeds))
            )
            for name in names
        }
        return {name: future.result() for name, future in running.items()}


@app.default
def main(
    *,
    seed: int = 1,
    seeds: int = DEFAULT_SEEDS,
    only: str = '',
    whole: typing.Annotated[bool, cyclopts.Parameter(negative='')] = False,
    json: typing.Annotated[bool, cyclopts.Parameter(negative='')] = False,
) -> None:
    """Print one table for each decision.

    :param seed: the first seed
    :param seeds: how many seeds, one after the other
    :param only: measure just this decision
    :param whole: all seeds for the slow ones too; takes minutes
    :param json: print JSON
    """
    found = measure(seed, seeds, only, whole)
    if json:
        rows = {name: rows for name, (_, rows) in found.items()}
        sys.stdout.buffer.write(msgspec.json.encode(rows) + b'\n')
        return
    for name, (duration_s, rows) in found.items():
        print(_text(name, rows))
        print(f'{name}: measured in {duration_s:.1f} s\n')


def _print_to_stderr() -> None:
    """Keep what libraries print from standard output, which is the table."""
    os.dup2(sys.stderr.fileno(), sys.stdout.fileno())


def _text(name: str, rows: list) -> str:
    """Print rows; a module with rows of its own has its own ``line``."""
    if all(isinstance(row, table.Row) for row in rows):
        return table.text(rows)
    module = importlib.import_module(f'measure.{name}')
    return '\n'.join([f'== {name}', *map(module.line, rows), ''])


def _exists(name: str) -> bool:
    return importlib.util.find_spec(f'measure.{name}') is not None


if __name__ == '__main__':
    app()
