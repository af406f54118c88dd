"""Exhaustive search of leaders that move VMs, and defects that it finds."""

import pytest

from oleanderwood import anomalies
from oleanderwood import grants
from oleanderwood import isolation
from tests import model_leaders
from tests import search


def _explore(vms, leaders, **settings):
    steps, broken = model_leaders.make(**settings)
    return search.explore([model_leaders.start(vms, leaders)], steps, broken)


@pytest.mark.parametrize(
    ('vms', 'leaders', 'least'), [(1, 2, 10_000), (2, 1, 5_000)]
)
def test_vm_works_for_one_pool(vms, leaders, least):
    visited = _explore(vms, leaders)
    print(f'{vms} VMs, {leaders} leaders: {visited} states visited.')
    assert visited > least


def _found(leaders=1, **settings):
    with pytest.raises(search.Breach) as caught:
        _explore(1, leaders, **settings)
    return caught.value.path


def test_found_leader_reads_the_roster_first():
    assert 'B joins' in _found(roster_first=True)


def test_found_writes_without_comparing():
    _found(2, blind=True)


def test_found_requests_in_flight_are_ignored(monkeypatch):
    monkeypatch.setattr(grants, 'held', lambda _: {})
    _found()


def test_found_one_answer_is_enough(monkeypatch):
    required = isolation.required
    monkeypatch.setattr(
        isolation, 'required', lambda *found: required(*found)[:1]
    )
    assert 'B sends to 0' in _found()


def test_found_lower_revisions_are_accepted(monkeypatch):
    def newer(counts, kind, known, offered, same):
        return offered != known

    monkeypatch.setattr(anomalies, 'newer', newer)
    _found(2)
