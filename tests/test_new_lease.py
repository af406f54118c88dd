"""A former leader that gets a new lease must not act on it.

Users would see two runs of a task at once when a cut heals. The leader is
parted from the store, the other servers and half of the machines; it gives
up what ran on its own half as its leases there run out. The next leader,
which doesn't reach that half, goes on with the tasks on the other. The cut
heals: the former leader takes a new lease of the store, which says nothing
of who leads, and takes itself for the leader by it until it hears of the
next one some tens of milliseconds later. In that time it starts the tasks
anew on its own half, which the next leader hasn't reached yet, so that no
fence refuses it.

Evidence, seed 11: the cut heals at 17.0 s; 17.061 a new lease is taken under
term 1; 17.107 a task that the leader of term 2 has running elsewhere is
started, attempt 2; 17.126 term 1 ends.
"""

import dataclasses

import pytest

from emulator import day
from emulator import troubles
from tests import utils_days

PARTED = troubles.Trouble(troubles.Kind.LEADER_PARTED, 1.0, 12.0)


@pytest.mark.parametrize('seed', [11, 49])
def test_former_leader_starts_nothing_by_a_new_lease(seed):
    plan = dataclasses.replace(
        utils_days.takeover_day(seed), press_gap_s=0.1, troubles=(PARTED,)
    )
    result = day.play(plan)
    assert not result.breaches, result.breaches[:5]
    assert not result.unfinished, result.unfinished
