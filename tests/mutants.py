"""Run of all planted defects: each must make its proof fail.

``python -m tests.mutants``; names as arguments run those alone. Each
defect has a process of its own. A proof that fails by itself counts for
nothing, so all of them run once without any defect before.
"""

import collections
import concurrent.futures
import os
import subprocess
import sys
import time

from tests import mutant_plugin
from tests import mutants_inside
from tests import mutants_requests
from tests import mutants_state
from tests import utils_mutants as utils

PROCESSES = 3
TIMEOUT_S = 120.0
BASELINE_TIMEOUT_S = 600.0
PASSED, FAILED = 0, 1
"""Exit statuses of pytest; others mean that it could not run the test."""

CAUGHT = 'caught'
NOT_CAUGHT = 'NOT caught'
TIMED_OUT = 'timed out'
NOT_PLANTED = 'NOT planted'

MUTANTS = (
    *mutants_requests.MUTANTS,
    *mutants_state.MUTANTS,
    *mutants_inside.MUTANTS,
)
BY_NAME = {mutant.name: mutant for mutant in MUTANTS if mutant.patches}


def _pytest(nodes, timeout_s, *options, **variables):
    """Run tests; give the exit status, None if they took too long."""
    command = [sys.executable, '-m', 'pytest', '-q', '-x', *options]
    try:
        done = subprocess.run(
            [*command, '-p', 'no:cacheprovider', *nodes],
            env={**os.environ, **variables},
            stdout=subprocess.DEVNULL,
            stderr=subprocess.DEVNULL,
            timeout=timeout_s,
            check=False,
        )
    except subprocess.TimeoutExpired:
        return None
    return done.returncode


def run(mutant):
    """Run one defect; give what came of it."""
    options = ['-m', 'slow or not slow']
    variables = {}
    if mutant.patches:
        options += ['-p', mutant_plugin.__name__]
        variables[mutant_plugin.VARIABLE] = mutant.name
    status = _pytest([mutant.proof], TIMEOUT_S, *options, **variables)
    if status is None:
        return TIMED_OUT
    if status not in (PASSED, FAILED):
        return NOT_PLANTED
    wanted = FAILED if mutant.patches else PASSED
    return CAUGHT if status == wanted else NOT_CAUGHT


def _chosen(names):
    if not names:
        return MUTANTS
    return tuple(mutant for mutant in MUTANTS if mutant.name in names)


def _proofs_hold(mutants):
    """Say whether the proofs pass without any defect."""
    nodes = sorted({mutant.proof for mutant in mutants if mutant.patches})
    if not nodes:
        return True
    return _pytest(nodes, BASELINE_TIMEOUT_S) == PASSED


def _row(mutant, outcome):
    proof = mutant.proof if mutant.patches else f'{mutant.proof} (inside)'
    cells = (mutant.invariant.value, mutant.mechanism, mutant.name, proof)
    return f'| {" | ".join(cells)} | {outcome} |'


def report(mutants, outcomes):
    """Print the table; give how many were caught."""
    print('| invariant | mechanism | defect | proof | outcome |')
    print('|---|---|---|---|---|')
    order = list(utils.Invariant)
    rows = sorted(
        zip(mutants, outcomes, strict=True),
        key=lambda row: order.index(row[0].invariant),
    )
    caught = collections.Counter()
    for mutant, outcome in rows:
        print(_row(mutant, outcome))
        caught[mutant.invariant] += outcome == CAUGHT
    print()
    for kind in order:
        print(f'{kind.value}: {caught[kind]} caught')
    return caught


def main(names):
    """Run the defects; give the exit status."""
    mutants = _chosen(names)
    began_s = time.monotonic()
    sound = _proofs_hold(mutants)
    with concurrent.futures.ThreadPoolExecutor(PROCESSES) as pool:
        outcomes = list(pool.map(run, mutants))
    caught = report(mutants, outcomes)
    few = [kind for kind in utils.REQUIRED if caught[kind] < utils.LEAST]
    if few and not names:
        print('too few:', ', '.join(kind.value for kind in few))
    if not sound:
        print('a proof fails without any defect')
    print(f'{time.monotonic() - began_s:.0f} s')
    print(f'mutants: caught {caught.total()} of {len(mutants)}')
    whole = caught.total() == len(mutants) and len(mutants) > 0
    return 0 if whole and sound and (names or not few) else 1


if __name__ == '__main__':
    sys.exit(main(sys.argv[1:]))
