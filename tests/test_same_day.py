"""An emulated day's log is the same in each process that plays it.

What developers saw: a failure that a seed had shown didn't come back from its
command. Of 40 days with three features 9 had other logs under another hash
seed, one in two. Cause: a gang that has to stay in one rack was offered racks
in the order of a set of names; so did a leader that replays the same day. The
first lines that differed were starts of such gangs. Rosters and pools that
lack machines were taken from sets as well.
"""

import os
import subprocess
import sys

SEEDS = ('2', '10', '15', '19', '25', '36')
"""Days that differed under other hash seeds."""


def _digests(hash_seed, seeds):
    env = {**os.environ, 'PYTHONHASHSEED': hash_seed}
    done = subprocess.run(
        [sys.executable, '-m', 'tests.utils_same_day', *seeds],
        env=env,
        capture_output=True,
        text=True,
        check=True,
    )
    return dict(line.split() for line in done.stdout.splitlines())


def test_days_are_the_same_under_any_hash_seed():
    logs = [_digests(hash_seed, SEEDS) for hash_seed in ('0', '1', '2', '3')]
    assert set(logs[0]) == set(SEEDS)
    assert logs[1:] == logs[:1] * 3


def test_days_do_not_depend_on_what_was_played_before():
    there = _digests('0', SEEDS)
    back = _digests('0', SEEDS[::-1])
    assert there == back
