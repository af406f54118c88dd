"""Days on which another writer spoils entries while jobs run."""

import curio
import hypothesis
from hypothesis import strategies
import pytest

from emulator import day
from emulator import spoiling
from emulator import troubles
from oleanderwood.platform import entries
from oleanderwood.pools import entries as entries_
from oleanderwood.pools import workers as workers_
from soak import run
from soak import strikes
from tests import utils_entries as build

KINDS = (
    troubles.Kind.ENTRY_SPOILED,
    troubles.Kind.ENTRY_SPOILED,
    troubles.Kind.ENTRY_SPOILED,
    troubles.Kind.ENTRY_LATE,
    troubles.Kind.LEADER_KILLED,
    troubles.Kind.LEADER_CUT,
    troubles.Kind.STORE_DOWN,
    troubles.Kind.HISTORY_LOST,
    troubles.Kind.EXECUTOR_CRASHED,
    troubles.Kind.EXECUTOR_HIDDEN,
    troubles.Kind.EXECUTOR_DRAINED,
    troubles.Kind.WAVE,
    troubles.Kind.ORDERS_LATE,
)

FOUND = {
    20060: 'a worker whose entry named three places in one instant was met '
    'three times; the sender of its second life took an order of its third, '
    'and its task was never started',
}
"""Seeds that once broke a rule or left jobs unfinished, and why."""

FIELDS = strategies.sampled_from(spoiling.FIELDS) | strategies.tuples(
    strategies.sampled_from([*build.REQUIRED, 'machine']),
    strategies.just(spoiling.LACKING) | build.ANY_JSON,
)
VALUES = strategies.tuples(build.VALUES, strategies.just(('', None)))
SPOILED_FIELDS = strategies.tuples(strategies.none(), FIELDS)
OTHER_PLACES = strategies.just((None, ('addr', spoiling.ANOTHER)))

WRITTEN = strategies.builds(
    lambda at_s, for_s, what, name: spoiling.Written(
        at_s, for_s, what[0], *what[1], name
    ),
    strategies.floats(0.0, 4.0),
    strategies.floats(1.0, 4.0),
    VALUES | SPOILED_FIELDS | OTHER_PLACES,
    strategies.just('') | strategies.text(max_size=8),
)
"""Any JSON, any bytes, or an executor's own entry with one field spoiled,
under an executor's id or another."""


def _play(plan):
    result = day.play(plan)
    assert not result.breaches, result.breaches[:5]
    assert not result.unfinished, result.unfinished
    return result


@hypothesis.settings(max_examples=50)
@hypothesis.given(strategies.lists(WRITTEN, min_size=1, max_size=8))
def test_any_entries_change_nothing_for_callers(rows):
    plan = day.Plan(
        3, length_s=6.0, jobs_per_s=5.0, finish_s=15.0, entries=tuple(rows)
    )
    result = _play(plan)
    assert result.accepted == result.handed_in > 10


@pytest.mark.parametrize('seed', [*FOUND, *range(800, 812)])
def test_day_with_spoiled_entries_among_other_troubles(seed):
    drawn = troubles.draw(seed, 12.0, 6, KINDS)
    _play(day.Plan(seed, jobs_per_s=3.0, troubles=tuple(drawn)))


def test_kept_seeds_draw_no_spoiled_entries():
    assert troubles.Kind.ENTRY_SPOILED not in troubles.FIRST_KINDS
    assert troubles.Kind.ENTRY_SPOILED not in strikes.FIRST_PLATFORM_KINDS
    assert troubles.Kind.ENTRY_SPOILED in strikes.PLATFORM_KINDS


def test_spoiled_entries_are_none_that_can_be_used():
    good = build.encode()
    rows = [
        spoiling.Written(0, 0, value=value) for value in spoiling.VALUES
    ] + [
        spoiling.Written(0, 0, field=field, content=content)
        for field, content in spoiling.FIELDS
        if content not in (spoiling.ANOTHER, 'nowhere')
    ]
    for row in rows:
        with pytest.raises(entries_.BadEntry):
            entries.decode('servers/i-1', spoiling.spoil(good, row))


def _unlisted_workers_get_tasks(patch):
    accepts = workers_.accepts

    def lenient(worker, now_s):
        listed, worker.listed = worker.listed, True
        try:
            return accepts(worker, now_s)
        finally:
            worker.listed = listed

    patch.setattr(workers_, 'accepts', lenient)


def _any_place_is_believed(patch):
    patch.setattr(entries_, 'same_place', lambda entry, other: True)


def _fields_are_not_checked(patch):
    patch.setattr(entries, '_check', lambda wire: None)


DEFECTS = {
    'gives tasks to workers without an entry': _unlisted_workers_get_tasks,
    'believes any place': _any_place_is_believed,
    'checks no field': _fields_are_not_checked,
}


def _shows(seed):
    rows = tuple(
        troubles.Trouble(troubles.Kind.ENTRY_SPOILED, at_s, 6.0)
        for at_s in (1.0, 4.0, 7.0)
    )
    result = day.play(day.Plan(seed, jobs_per_s=4.0, troubles=rows))
    return bool(result.breaches or result.unfinished)


@pytest.mark.parametrize('name', DEFECTS)
def test_planted_defect_is_found(name):
    with pytest.MonkeyPatch.context() as patch:
        DEFECTS[name](patch)
        assert any(_shows(seed) for seed in range(820, 830))


def test_the_same_days_are_clean_without_defects():
    for seed in range(820, 830):
        assert not _shows(seed)


def test_real_servers_beside_another_writer(tmp_path, monkeypatch):
    monkeypatch.setattr('oleanderwood.event_log.emit', run._quiet)
    kind = troubles.Kind.ENTRY_SPOILED
    rows = [
        strikes.Strike(kind, 0.5, 4.0),
        strikes.Strike(kind, 2.0, 3.0),
        strikes.Strike(strikes.Kind.KILLED, 3.0, 1.0),
    ]
    plan = day.Plan(5, length_s=6.0, server_count=2)
    outcome = curio.run(run.soak, plan, tmp_path, rows)
    assert not run.failed(outcome), (outcome.result.breaches, outcome.cuts)
