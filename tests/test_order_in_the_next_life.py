"""An order of an earlier term that the executor's next life carries out.

What callers would see: a task that runs again after its end was noted. Order
of events: a leader's order to start a task gets no answer, and its term ends;
the next leader runs the task to its end. Eleven seconds after it was sent the
order is carried out, half a second after its executor has started again, while
no server leads. That life has seen no term and no stop; its clock has started
anew, so that the lease in the order isn't over there.

Nothing that a server sends can close it: the life isn't known to anybody yet.
An executor that kept its highest term, or dropped orders of its earlier life,
would. Whether the platform's do isn't told on its pages.

Log (`python -m emulator.lab --seeds 1 --first-seed 61291 --trouble-count 2
--restart-count 3`): `start task=0562df4d4e3a83cf.1.0.0 attempt=1 outcome=left
term=1` at 6.594; attempt 1001 done at 7.317 under term 2; the next life is
born at 17.566, attempt 1 begins at 18.04, and term 3 `took-over` at 18.834.
"""

import pytest

from tests import utils_restarts


@pytest.mark.parametrize('seed', [61291])
def test_order_of_an_earlier_term_does_not_run_in_the_next_life(seed):
    assert not utils_restarts.lab_day(seed).breaches
