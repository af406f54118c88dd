"""A late call that the next life of its executor carries out.

What callers would see: a task that runs again after its end was noted. Order
of events: a leader's order to start a task gets no answer, and its term ends;
the next leader runs the task to its end. Eleven seconds after it was sent the
order is carried out, half a second after its executor has started again, while
no server leads. That life has seen no term and no stop; its clock has started
anew, so that the lease in the order isn't over there.

By then the store had been back for 0.36 s, and nobody led for want of an
answer to a watch (`test_store_back`). Of the same kind are seed 91466 (a start
given up at 6.390 is carried out at 9.17, while the leader, whose calls get
late, asks the next life each 0.2 to 0.8 s) and 91469 (given up at 6.224, it is
carried out at 13.65 by the life born at 9.696: the leader was suspended, then
stopped, and the store away).

Log (`python -m emulator.lab --seeds 1 --first-seed 61291 --trouble-count 2
--restart-count 3`): `start task=0562df4d4e3a83cf.1.0.0 attempt=1 outcome=left
term=1` at 6.594; attempt 1001 done at 7.317 under term 2; the next life is
born at 17.566, attempt 1 begins at 18.04, and term 3 `took-over` at 18.834.

The same holds for a renewal that is carried out late: it acknowledges ends by
number, and the next life forgets its own first ends, which nobody has read. So
done work is done again. Log and sights of seed 74110: a renewal that server s0
sent to the life before, with `last_seen` 3, is carried out at 20.47 by the
life born at 10.805; its third end, `510e58adc67bd9fd.0.0.1` done at 13.10, is
forgotten then; the leader gives the run up at 26.162 (`lease-over`) and starts
the task at 26.81. Seeds 74301 (last_seen 15 at 13.38) and 74324 (3 at 12.33)
are alike. On seed 74140 a start of term 1 without an answer is carried out at
15.83 by a life that the leader of term 2 first reaches at 18.618, as one that
may not act asked nobody (`test_gap_in_acting`).

A renewal that is carried out late lengthens the lease of the life that it
meets, too. Log and sights of seed 87069: a renewal with `deadline_ms` 186019,
meant for the first life, is carried out by the third at 2,032 ms of its own
clock, and the lease of all that runs there goes from 6,135 to 8,032 ms. The
leader met this life at 11.460 and lost sight of it at 13.054, behind a cut; at
18.018 it takes the lease for over (`lease-over`) and starts the task
elsewhere, while the run still stands at 18.056.

Cause of both renewals: all calls of a term had the same fence, so that a life
which had long answered the leader took one that was meant for another. Now the
fence rises as a life is met, and as a call to its executor is left unanswered:
on the same days the three late renewals are refused, by `fence`.
"""

import pytest

from tests import utils_restarts


@pytest.mark.parametrize('seed', [61291])
def test_order_of_an_earlier_term_does_not_run_in_the_next_life(seed):
    assert not utils_restarts.lab_day(seed).breaches


@pytest.mark.parametrize('seed', [91466, 91469])
def test_order_is_refused_by_the_next_life_that_a_leader_is_late_to_ask(seed):
    assert not utils_restarts.day_of_many_restarts(seed).breaches


@pytest.mark.parametrize('seed', [74140])
def test_order_does_not_run_in_a_next_life_behind_a_cut(seed):
    assert not utils_restarts.day_with_a_cut(seed).breaches


@pytest.mark.parametrize('seed', [74110, 74301, 74324])
def test_late_renewal_forgets_no_ends_of_the_next_life(seed):
    assert not utils_restarts.day_with_a_cut(seed).breaches


@pytest.mark.parametrize('seed', [87069])
def test_late_renewal_lengthens_no_lease_of_the_next_life(seed):
    assert not utils_restarts.day_of_many_restarts(seed).breaches
