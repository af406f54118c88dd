"""Tests of history: the head alone decides what became of each apply."""

import hypothesis
import hypothesis.strategies as st

from oleanderwood import configuration
from oleanderwood import history
from oleanderwood import ids


def _head(revision, operation, named=()):
    references = {f'pools/{index}': ref for index, ref in enumerate(named)}
    return configuration.Head(
        ids.Revision(revision),
        ids.Revision(revision - 1),
        references,
        ids.OperationId(operation),
    )


def _record(operation, base, base_operation, **changes):
    return history.Record(
        operation=ids.OperationId(operation),
        author='ana',
        base=ids.Revision(base),
        base_operation=ids.OperationId(base_operation),
        revision=ids.Revision(base + 1),
        staged_at_s=0.0,
        changes='',
        **changes,
    )


def _outcomes(known):
    return {record.operation: record.outcome for record in known.records}


def test_loser_of_a_race_is_refused_and_its_parts_are_garbage():
    known = history.History(
        (
            _record('a', 0, '', written=('pa',)),
            _record('b', 0, '', written=('pb',)),
        )
    )
    settled, garbage = history.settle(known, _head(1, 'b', ('pb',)))
    assert _outcomes(settled) == {
        'a': history.Outcome.REFUSED,
        'b': history.Outcome.ACCEPTED,
    }
    assert garbage == ('pa',)
    assert not any(r.written for r in settled.records)


def test_replaced_parts_of_the_base_are_garbage():
    record = _record('b', 1, 'a', written=('p2',), replaced=('p1',))
    _, garbage = history.settle(
        history.History((record,)), _head(2, 'b', ('p2',))
    )
    assert garbage == ('p1',)


def test_undecided_while_the_head_stands_at_the_base():
    known = history.History((_record('b', 1, 'a', written=('p',)),))
    settled, garbage = history.settle(known, _head(1, 'a'))
    assert _outcomes(settled) == {'b': history.Outcome.STAGED}
    assert not garbage
    assert history.undecided(known, _head(1, 'a')) == known.records


def test_unknown_chain_refuses_nothing_that_may_have_run():
    """The records between the head and an old one are lost."""
    known = history.History((_record('a', 0, '', written=('p',)),))
    settled, garbage = history.settle(known, _head(5, 'z'))
    assert _outcomes(settled) == {'a': history.Outcome.STAGED}
    assert not garbage


@hypothesis.settings(derandomize=True, deadline=None, max_examples=200)
@hypothesis.given(st.lists(st.tuples(st.booleans(), st.booleans())))
def test_settling_late_tells_the_truth(applies):
    """Each apply may win, and each may be followed by a settling or not."""
    head, known = _head(0, ''), history.History()
    accepted, named, deleted = set(), set(), set()
    for number, (wins, settles) in enumerate(applies):
        operation = f'op-{number}'
        part = f'part-{number}'
        replaced = tuple(sorted(named)) if wins else ()
        record = _record(
            operation,
            head.revision,
            head.operation,
            written=(part,),
            replaced=replaced,
        )
        known = history.stage(known, record)
        if wins:
            named = {part}
            accepted.add(operation)
            head = _head(head.revision + 1, operation, named)
        if settles:
            known, garbage = history.settle(known, head)
            deleted |= set(garbage)
        assert not deleted & named
    known, garbage = history.settle(known, head)
    deleted |= set(garbage)
    assert not deleted & named
    for operation, outcome in _outcomes(known).items():
        if outcome is not history.Outcome.STAGED:
            won = outcome is history.Outcome.ACCEPTED
            assert won == (operation in accepted)
    staged = [r for r in known.records if r.outcome is history.Outcome.STAGED]
    assert all(r.base == head.revision for r in staged)
    everything = {f'part-{n}' for n in range(len(applies))}
    waiting = {part for r in staged for part in r.written}
    assert everything == deleted | named | waiting


def test_history_is_bounded():
    known, head = history.History(), _head(0, '')
    for number in range(history.KEPT_RECORDS + 30):
        operation = f'op-{number}'
        record = _record(operation, head.revision, head.operation)
        known = history.stage(known, record)
        head = _head(head.revision + 1, operation)
        known, _ = history.settle(known, head)
    assert len(known.records) == history.KEPT_RECORDS
    assert known.records[-1].operation == head.operation


def test_withdrawn_record_is_gone():
    known = history.History((_record('a', 0, ''), _record('b', 0, '')))
    left = history.withdraw(known, {'a'})
    assert history.find(left, 'a') is None
    assert history.find(left, 'b') is not None
