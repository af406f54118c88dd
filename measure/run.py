"""Access to ``python -m measure.run``: a table for each decision."""

import importlib
import importlib.util
import sys
import time
import typing

import cyclopts
import msgspec

from measure import table

MODULES = ('waves', 'buffer', 'placement', 'admission')
DEFAULT_SEEDS = 20

app = cyclopts.App(name='measure', help='Measure the decisions.')


def measure(
    seed: int, seeds: int, only: str = ''
) -> list[tuple[str, float, list[table.Row]]]:
    """Run the measurements that there are.

    :param only: one of ``MODULES``, '' for all
    :returns: name, seconds and rows of each
    """
    found = []
    for name in MODULES:
        if only not in ('', name) or not _exists(name):
            continue
        module = importlib.import_module(f'measure.{name}')
        start_s = time.monotonic()
        rows = list(module.rows(seed, seeds))
        found.append((name, time.monotonic() - start_s, rows))
    return found


@app.default
def main(
    *,
    seed: int = 1,
    seeds: int = DEFAULT_SEEDS,
    only: str = '',
    json: typing.Annotated[bool, cyclopts.Parameter(negative='')] = False,
) -> None:
    """Print one table for each decision.

    :param seed: the first seed
    :param seeds: how many seeds, one after the other
    :param only: measure just this decision
    :param json: print JSON
    """
    found = measure(seed, seeds, only)
    rows = [row for _, _, some in found for row in some]
    if json:
        sys.stdout.buffer.write(msgspec.json.encode(rows) + b'\n')
        return
    print(table.text(rows))
    for name, duration_s, _ in found:
        print(f'{name}: measured in {duration_s:.1f} s')


def _exists(name: str) -> bool:
    return importlib.util.find_spec(f'measure.{name}') is not None


if __name__ == '__main__':
    app()
