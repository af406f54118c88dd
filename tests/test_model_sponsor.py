"""Exhaustive search of sponsored entries, and defects that it finds."""

import pytest

from oleanderwood import isolation
from oleanderwood import neighbours
from oleanderwood import view
from tests import model_sponsor
from tests import search

HORIZON = 3


def _explore():
    steps, broken = model_sponsor.make(HORIZON)
    return search.explore([model_sponsor.State()], steps, broken)


def test_sponsored_entry_never_sends_to_a_vm_that_was_taken():
    visited = _explore()
    print(f'{visited} states visited.')
    assert visited > 5_000


def _found():
    with pytest.raises(search.Breach) as caught:
        _explore()
    return caught.value.path


def test_found_sponsor_does_not_name_the_sponsored(monkeypatch):
    monkeypatch.setattr(neighbours, 'sponsored', lambda *_: ())
    assert 'P answers' in _found()


def test_found_sponsored_contact_is_as_young_as_the_reply(monkeypatch):
    def sponsor_contact(made, reply, sent_s, now_s):
        if not view.lags(made, reply.standing):
            view.contact(made, sent_s, now_s)
            view.grant(made, reply.standing.incarnation)

    monkeypatch.setattr(view, 'sponsor_contact', sponsor_contact)
    assert 'no key of P' in _found()


def test_found_successor_counts_at_once(monkeypatch):
    def ended(evidence, member, now_s):
        return 'superseded' if member.peer in evidence.answers else ''

    monkeypatch.setattr(isolation, '_ended', ended)
    assert 'Q answers' in _found()


def test_found_sponsored_entry_need_not_follow_as_far(monkeypatch):
    monkeypatch.setattr(view, 'lags', lambda *_: False)
    _found()
