"""Exhaustive search of applies that race, and defects that it finds."""

import pytest

from oleanderwood import anomalies
from oleanderwood import config_state
from oleanderwood import rollout
from tests import model_config
from tests import search


def _explore(operators, joining, **settings):
    steps, broken = model_config.make(**settings)
    initial = model_config.start(operators, joining)
    return search.explore([initial], steps, broken)


@pytest.mark.parametrize(
    ('operators', 'joining', 'least'), [(1, True, 1_000), (2, False, 20_000)]
)
def test_accepted_revision_is_in_force_or_in_doubt(operators, joining, least):
    visited = _explore(operators, joining)
    print(f'{operators} operators, {joining=}: {visited} states visited.')
    assert visited > least


def _found(operators=1, joining=False, **settings):
    with pytest.raises(search.Breach) as caught:
        _explore(operators, joining, **settings)
    return caught.value


def test_found_joining_entry_reads_no_records():
    assert 'B joins' in _found(joining=True, records=False).path


def test_found_swap_without_waiting_for_an_acknowledgement(monkeypatch):
    def at_once(state, members):
        after = rollout.dataclasses.replace(
            state,
            asked=frozenset(members),
            roster_due=False,
            phase=rollout.Phase.SWAPPING,
        )
        return after, (rollout.Swap(),)

    monkeypatch.setattr(rollout, '_roster_before', at_once)
    assert 'good faith' in str(_found())


def test_found_lower_revisions_are_accepted(monkeypatch):
    def newer(counts, kind, known, offered, same):
        return offered != known

    monkeypatch.setattr(anomalies, 'newer', newer)
    assert 'A reads' in _found().path


def test_found_new_stage_takes_the_place_of_another(monkeypatch):
    def only_one(state, head, content, now_s, base_version=None):
        found = config_state.Stage(head, content, now_s, base_version)
        state.stages = {head.operation: found}
        return ''

    monkeypatch.setattr(config_state, 'stage', only_one)
    assert 'good faith' in str(_found(2))


def test_found_staged_revision_is_put_in_force_at_once(monkeypatch):
    stage = config_state.stage

    def eager(state, head, content, now_s, base_version=None):
        reason = stage(state, head, content, now_s, base_version)
        if not reason:
            config_state.apply(state, head, content)
        return reason

    monkeypatch.setattr(config_state, 'stage', eager)
    assert 'never accepted' in str(_found())
