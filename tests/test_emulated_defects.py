"""Defects planted in the product, each of which emulated days must show."""

import pytest

from emulator import day
from emulator import troubles
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.leading import dispatch
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import schedule
from oleanderwood.leading import worker_loop
from oleanderwood.maintenance import disruption_budget
from oleanderwood.platform import store as stores
from oleanderwood.pools import workers as workers_

SEEDS = range(600, 640)
"""Days that are played if the one that showed a defect no longer does."""


async def _unguarded(leader, values):
    condition = {'ow/roles/leader': leader.revision}
    await stores.write(leader.server.store, condition, values)


def _acknowledge_at_once(patch):
    take = workers_.process_report

    def eager(ledger, worker, report, *rest):
        outcome = take(ledger, worker, report, *rest)
        worker.stored_end = worker.seen_end
        return outcome

    patch.setattr(workers_, 'process_report', eager)


def _unguarded_writes(patch):
    patch.setattr(fenced_writes, 'write', _unguarded)


def _silence_is_death(patch):
    record = worker_loop.record_silence

    def eager(worker, error):
        record(worker, error)
        worker.lease_end_s = 0.0

    patch.setattr(worker_loop, 'record_silence', eager)


def _unanswered_start_did_not_run(patch):
    async def forget(leader, worker, task, run, error):
        if task.run is run:
            await dispatch._requeue_unstarted(leader, worker, task, 'lost')

    patch.setattr(dispatch, '_start_unanswered', forget)


def _takeover_blocks_nothing(patch):
    patch.setattr(schedule, 'pools_with_unknown_runs', lambda leader: set())


def _progress_is_not_restored(patch):
    patch.setattr('oleanderwood.jobs.record._restore_group', _nothing)


def _nothing(*arguments):
    """Do nothing."""


def _failures_count_once_too_often(patch):
    def mark(ledger, task, worker, attempt, most, now_s):
        task.failed_attempts.add(attempt + 500)
        return real(ledger, task, worker, attempt, most, now_s)

    real = ledgers.mark_failed
    patch.setattr(ledgers, 'mark_failed', mark)


def _any_may_go(patch):
    patch.setattr(
        disruption_budget, 'may_interrupt_all', lambda worker, now_s: True
    )


def _steps_wait_for_nothing(patch):
    patch.setattr(ledgers, 'is_ready', lambda group, wall_ms: True)


def _leaving_workers_get_tasks(patch):
    accepts = workers_.accepts

    def lenient(worker, now_s):
        entry = worker.entry
        worker.entry = _staying(entry)
        try:
            return accepts(worker, now_s)
        finally:
            worker.entry = entry

    patch.setattr(workers_, 'accepts', lenient)


def _staying(entry):
    return workers_.reports.msgspec.structs.replace(entry, draining=False)


DEFECTS = {
    'acknowledges ends before they are written': (_acknowledge_at_once, 600),
    'writes older progress over newer': (_unguarded_writes, 665),
    'takes a silent worker for dead': (_silence_is_death, 602),
    'takes an unanswered start for not run': (
        _unanswered_start_did_not_run,
        643,
    ),
    'starts again while a lease may go on': (_takeover_blocks_nothing, 607),
    'forgets progress at a change of leader': (_progress_is_not_restored, 600),
    'fails a job too early': (_failures_count_once_too_often, 601),
    'ends serving tasks beyond the allowance': (_any_may_go, 600),
    'starts steps before their turn': (_steps_wait_for_nothing, 600),
    'gives tasks to leaving workers': (_leaving_workers_get_tasks, 608),
}


def _shows(seed: int) -> bool:
    plan = day.Plan(
        seed, troubles=tuple(troubles.draw(seed, 12.0, 5)), jobs_per_s=3.0
    )
    result = day.play(plan)
    return bool(result.breaches or result.unfinished)


@pytest.mark.parametrize('name', sorted(DEFECTS))
def test_planted_defect_is_found(name):
    plant, seed = DEFECTS[name]
    with pytest.MonkeyPatch.context() as patch:
        plant(patch)
        assert any(_shows(number) for number in (seed, *SEEDS))


def test_the_same_days_are_clean_without_defects():
    for _plant, seed in DEFECTS.values():
        assert not _shows(seed)
