"""Planted defects that let state of an incarnation outlive a restart.

Each planted defect keeps one part of an incarnation's state across a restart
of its executor, so that tasks run twice or ends are lost. Days with the same
restarts are clean without the defect.
"""

import functools
import math

import pytest

from oleanderwood.leading import late_orders
from oleanderwood.leading import restarts
from oleanderwood.leading import state as states
from oleanderwood.leading import worker_loop
from oleanderwood.pools import fences
from oleanderwood.pools import incarnations
from oleanderwood.pools import workers
from tests import utils_restarts


def _ids_name_one_incarnation(patch):
    patch.setattr(
        incarnations, 'incarnation_name', lambda executor, born: executor
    )


def _end_numbers_survive_restarts(patch):
    real = restarts._supersede

    def supersede(leader, previous, worker, report):
        worker.seen_end = max(worker.seen_end, previous.seen_end)
        worker.stored_end = max(worker.stored_end, previous.stored_end)
        return real(leader, previous, worker, report)

    patch.setattr(restarts, '_supersede', supersede)


def _clock_survives_restarts(patch):
    real = workers.record_answer
    first = {}

    def note(worker, report, now_s):
        real(worker, report, now_s)
        name = incarnations.executor_of(worker.entry.worker)
        clock_ms, at_s = first.setdefault(name, (report.own_clock_ms, now_s))
        worker.own_clock_ms = clock_ms + (now_s - at_s) * 1000

    patch.setattr(workers, 'record_answer', note)


def _unanswered_orders_are_dropped(patch):
    def succeed(ledger, previous, worker, report, now_s):
        workers.end_all_runs(ledger, previous, now_s)
        return []

    patch.setattr(workers, 'transfer_runs', succeed)


def _earlier_stops_are_assumed(patch):
    real = workers.transfer_runs

    def succeed(*args):
        real(*args)
        return []

    patch.setattr(workers, 'transfer_runs', succeed)


def _each_renewal_acknowledges(patch):
    real = worker_loop.renew_once

    async def renew(leader, worker, longest_wait_ms, acknowledge=False):
        kept, worker.silent_since_s = worker.silent_since_s, None
        try:
            return await real(leader, worker, longest_wait_ms, True)
        finally:
            if worker.silent_since_s is None and kept is not None:
                worker.silent_since_s = worker.gone and kept or None

    patch.setattr(worker_loop, 'renew_once', renew)
    patch.setattr(worker_loop, 'JUST_ANSWERED_S', math.inf)


def _earlier_incarnations_stay(patch):
    patch.setattr(restarts, 'supersede_earlier', lambda *args: [])


def _fences_never_rise(patch):
    def raise_fence(given, executor):
        given.numbers[executor] = 1

    patch.setattr(fences, 'raise_fence', raise_fence)


def _unrecorded_orders_are_ignored(patch):
    async def suspect(leader, worker):
        return None

    patch.setattr(late_orders, 'suspect', suspect)


def _lease_is_ignored(patch):
    patch.setattr(states, 'holds_lease', states.may_act)


def _without_fences(plant):
    """Plant a defect that is hidden by fences, together with fixed fences.

    Two mechanisms guard against late orders; this shows that each works where
    the other one fails.
    """

    def both(patch):
        _fences_never_rise(patch)
        plant(patch)

    return both


DEFECTS = {
    'gives all orders of a term one fence': (
        _fences_never_rise,
        utils_restarts.late_acknowledgement,
    ),
    'expects no order that nobody has recorded': (
        _unrecorded_orders_are_ignored,
        functools.partial(
            utils_restarts.order_in_flight_at_a_leaders_death, 0.1
        ),
    ),
    'takes an id for one life': (
        _ids_name_one_incarnation,
        utils_restarts.ends_of_next_incarnation,
    ),
    'keeps the numbers of ends': (
        _end_numbers_survive_restarts,
        utils_restarts.ends_of_next_incarnation,
    ),
    'keeps the clock': (
        _clock_survives_restarts,
        utils_restarts.hidden_after_restart,
    ),
    'takes orders under way for over': (
        _without_fences(_unanswered_orders_are_dropped),
        functools.partial(utils_restarts.late_order, 0.3),
    ),
    'takes earlier stops for known': (
        _without_fences(_earlier_stops_are_assumed),
        functools.partial(utils_restarts.late_order, 3.0),
    ),
    'acknowledges to whoever answers': (
        _each_renewal_acknowledges,
        utils_restarts.ends_of_unknown_incarnation,
    ),
    'waits for the leases of a life that is over': (
        _earlier_incarnations_stay,
        functools.partial(utils_restarts.roster_of_previous_incarnation, 0.0),
    ),
    'concludes without its mark in the store': (
        _lease_is_ignored,
        utils_restarts.previous_leader_beside_next_incarnation,
    ),
}


def _is_broken(result):
    """Return whether a rule was broken or a task done more than once."""
    return bool(result.breaches or utils_restarts.done_twice(result))


@pytest.mark.parametrize('name', DEFECTS)
def test_planted_defect_is_found_and_the_day_is_clean_without(name):
    plant, scenario = DEFECTS[name]
    with pytest.MonkeyPatch.context() as patch:
        plant(patch)
        result = scenario()
        assert _is_broken(result) or result.unfinished
    assert not _is_broken(scenario())


@pytest.mark.parametrize('restart_s', [0.3, 3.0])
def test_late_order_breaks_nothing_where_fences_never_rise(restart_s):
    with pytest.MonkeyPatch.context() as patch:
        _fences_never_rise(patch)
        assert not _is_broken(utils_restarts.late_order(restart_s))
