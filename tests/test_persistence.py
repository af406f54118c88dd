"""Tests of which changes are written next and which are written."""

import hypothesis
from hypothesis import strategies

from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import model
from oleanderwood.jobs import persistence
from tests import utils_jobs as build

NAMES = [f'{number:016x}' for number in range(4)]


def _ledger():
    return build.ledger_with(
        *(build.job(build.step(9), name=name) for name in NAMES)
    )


def _change(ledger, name):
    entry = ledger.entries[name]
    task = next(row for row in entry.groups[0, 0].tasks if not row.done)
    ledgers.mark_done(ledger, task, 1.0)


def test_jobs_that_have_ended_are_written_first():
    ledger = _ledger()
    for name in NAMES:
        _change(ledger, name)
    ledgers.end(ledger, ledger.entries[NAMES[2]], model.State.CANCELLED, 1.0)
    taken = persistence.take_dirty(ledger, 2)
    assert [row.job.job for row in taken] == [NAMES[2], NAMES[0]]


def test_job_that_is_being_written_waits_for_its_next_write():
    """Of two concurrent writes of a job, the older could take effect last."""
    ledger = _ledger()
    _change(ledger, NAMES[0])
    first = persistence.take_dirty(ledger, 9)
    _change(ledger, NAMES[0])
    assert not persistence.take_dirty(ledger, 9)
    persistence.note_written(ledger, first)
    assert persistence.written_up_to(ledger) == 1
    second = persistence.take_dirty(ledger, 9)
    assert second == first
    persistence.note_written(ledger, second)
    assert persistence.written_up_to(ledger) == 2


def test_failed_write_leaves_its_changes_unwritten():
    ledger = _ledger()
    _change(ledger, NAMES[0])
    taken = persistence.take_dirty(ledger, 9)
    _change(ledger, NAMES[0])
    _change(ledger, NAMES[1])
    persistence.note_failed(ledger, taken)
    assert persistence.written_up_to(ledger) == 0
    taken = persistence.take_dirty(ledger, 9)
    assert {row.job.job for row in taken} == {NAMES[0], NAMES[1]}
    persistence.note_written(ledger, taken)
    assert persistence.written_up_to(ledger) == 3


ACTIONS = strategies.lists(
    strategies.one_of(
        strategies.tuples(
            strategies.just('change'), strategies.integers(0, 3)
        ),
        strategies.tuples(strategies.just('take up'), strategies.just(1)),
        strategies.tuples(strategies.just('written'), strategies.booleans()),
    ),
    max_size=30,
)


@hypothesis.given(ACTIONS)
def test_written_means_that_the_store_has_it(actions):
    """Compare with a store that holds the number of each job's last change."""
    ledger = _ledger()
    changes = []
    stored = dict.fromkeys(NAMES, 0)
    writes = []
    for action, value in actions:
        if action == 'change' and changes.count(NAMES[value]) < 9:
            _change(ledger, NAMES[value])
            changes.append(NAMES[value])
        elif action == 'take up':
            taken = persistence.take_dirty(ledger, value)
            writes.append((taken, len(changes)))
        elif action == 'written' and writes:
            taken, at = writes.pop(0)
            if not value:
                persistence.note_failed(ledger, taken)
                continue
            persistence.note_written(ledger, taken)
            for entry in taken:
                stored[entry.job.job] = max(stored[entry.job.job], at)
        for number in range(persistence.written_up_to(ledger)):
            assert stored[changes[number]] > number
