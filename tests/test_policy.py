"""Tests of policy files: parsing, validation and differences."""

import hypothesis
from hypothesis import strategies
import pytest

from oleanderwood import ids
from oleanderwood.jobs import queues
from oleanderwood.policy import model
from oleanderwood.policy import reading

GOOD = """
[[pools]]
name = 'drafts'
min_up = 4

[[teams]]
name = 'directors'
queues = ['sheet-draft']
max_cores = 200.0

[maintenance]
not_between = ['03:30-06:00']

[weights]
buffer = 5.0
"""


def _faults(text):
    with pytest.raises(ExceptionGroup) as caught:
        reading.read(text)
    return [str(fault) for fault in caught.value.exceptions]


def test_file_is_read_whole():
    policy = reading.read(GOOD)
    assert policy.pools == (model.Pool(ids.ServiceId('drafts'), 4),)
    assert policy.teams[0].max_cores == 200.0
    assert policy.maintenance.not_between == ('03:30-06:00',)
    assert policy.weights == model.Weights(5.0, 1.0)


def test_empty_file_is_the_policy_before_the_first_apply():
    assert reading.read('') == model.NONE.policy


def test_all_faults_are_reported_at_once():
    faults = _faults(
        """
        [[pools]]
        name = 'a'
        min_up = -1
        [[pools]]
        name = 'a'
        [[pools]]
        min_up = 1
        [[teams]]
        name = 't'
        queues = ['q', 'q']
        max_cores = 0
        [maintenance]
        not_between = ['25:00-26:00']
        [weights]
        moves = 100.0
        [surprise]
        """
    )
    for part in (
        'pools[0].min_up',
        "'a' is listed 2 times",
        'pools[2]',
        "'q' is listed 2 times",
        'teams[0].max_cores',
        'maintenance.not_between[0]',
        'weights.moves',
        'surprise',
    ):
        assert any(part in fault for fault in faults), part
    assert len(faults) == 8


def test_unknown_field_and_wrong_type_are_faults():
    assert _faults("[[pools]]\nname = 'a'\nminup = 1\n")
    assert _faults("[[pools]]\nname = 'a'\nmin_up = 'x'\n")
    assert _faults('pools = 3\n')
    assert _faults('not toml')
    assert _faults('#' * (reading.MAX_TEXT_BYTES + 1))


@hypothesis.given(strategies.text(max_size=200))
def test_any_text_is_read_or_reported_as_invalid(text):
    try:
        reading.read(text)
    except ExceptionGroup as group:
        assert group.exceptions


def test_differences_name_what_changes():
    before = reading.read(GOOD)
    after = reading.read(GOOD.replace('min_up = 4', 'min_up = 5'))
    assert reading.differences(before, after) == [
        'pools.drafts.min_up: 4 -> 5'
    ]
    assert reading.differences(before, before) == []
    gone = reading.differences(before, model.Policy())
    assert 'teams.directors.max_cores: 200.0 -> nothing' in gone


def test_names_that_the_platform_lacks_are_reported():
    known = queues.Configuration(1, (), (ids.ServiceId('drafts'),))
    unknown = reading.unknown_names(reading.read(GOOD), known)
    assert unknown == ['queue sheet-draft of team directors']


def test_stored_policy_is_decoded_as_it_was_encoded():
    stored = model.StoredPolicy(3, reading.read(GOOD), GOOD, 'ana', 'op', 5.0)
    assert reading.decode(reading.encode(stored)) == stored
