"""Tests of isolation."""

import dataclasses

from oleanderwood import isolation
from oleanderwood import messages
from tests import utils_membership as build

E1, E2, E3 = (build.member(name) for name in ('e1', 'e2', 'e3'))
OLD = 1000.0


def _answers(*replies):
    members = {member.incarnation: member for member in (E1, E2, E3)}
    return {
        members[reply.incarnation].peer: isolation.Answer(reply, 90.0)
        for reply in replies
    }


def _evidence(answers, **changes):
    made = isolation.Evidence(
        revision=5,
        members=(E1, E2, E3),
        no_loss_since_s=0.0,
        answers=answers,
        absences={'e3-1': isolation.Absence(0.0, 95.0)},
        vm_gone_since_s={},
    )
    return dataclasses.replace(made, **changes)


def _third(evidence):
    return isolation.standing(evidence, 100.0)[2]


def _quiet(age_s=OLD, revision=5):
    ages = {'e3-1': age_s}
    return _answers(
        build.release_reply(E1, revision, ages),
        build.release_reply(E2, 5, ages),
    )


def test_isolated_once_all_others_report_quiet():
    assert _third(_evidence(_quiet())).reason == 'isolated'


def test_not_isolated_if_heard_lately():
    found = _third(_evidence(_quiet(age_s=30.0)))
    assert found.status is isolation.Status.UNKNOWN
    assert 'e3' in isolation.describe(found, 'vm-1')


def test_report_of_a_peer_that_lags_is_no_proof():
    found = _third(_evidence(_quiet(revision=4)))
    assert found.status is isolation.Status.UNKNOWN


def test_key_must_be_absent_after_the_last_answer():
    absences = {'e3-1': isolation.Absence(0.0, 89.0)}
    found = _third(_evidence(_quiet(), absences=absences))
    assert found.status is isolation.Status.UNKNOWN


def test_recent_loss_of_a_member_is_no_proof():
    found = _third(_evidence(_quiet(), no_loss_since_s=93.0))
    assert found.status is isolation.Status.UNKNOWN


def test_two_silent_members_may_give_each_other_contact():
    answers = _answers(build.release_reply(E1, 5, {'e3-1': OLD}))
    found = _third(_evidence(answers))
    assert found.status is isolation.Status.UNKNOWN


def test_superseded_only_after_a_while():
    for up_s, status in (
        (7.0, isolation.Status.UNKNOWN),
        (8.0, isolation.Status.GONE),
    ):
        after = build.release_reply(build.member('e3', 'e3-2'), 5, up_s=up_s)
        answers = {E3.peer: isolation.Answer(after, 90.0)}
        found = _third(_evidence(answers))
        assert found.status is status


def test_vm_gone_from_the_list():
    gone = {E3.vm: 91.0}
    assert _third(_evidence({}, vm_gone_since_s=gone)).reason
    gone = {E3.vm: 93.0}
    assert not _third(_evidence({}, vm_gone_since_s=gone)).reason.startswith(
        'its VM'
    )


def test_requests_in_flight_block_their_vm_alone():
    answers = _answers(
        build.release_reply(E1, 5),
        build.release_reply(E2, 5, in_flight={'vm-1': 2}),
        build.release_reply(E3, 5),
    )
    standings = isolation.standing(_evidence(answers), 100.0)
    blocking = isolation.blocking(standings, 'vm-1')
    assert [found.member for found in blocking] == [E2]
    assert isolation.blocking(standings, 'vm-2') == ()


def test_sponsored_entry_has_to_release_as_well():
    guest = build.member('e4')
    reply = messages.ReleaseReply('e1', 'e1-1', 5, {}, {}, OLD, (guest,))
    answers = _answers(
        reply, build.release_reply(E2, 5), build.release_reply(E3, 5)
    )
    standings = isolation.standing(_evidence(answers), 100.0)
    blocking = isolation.blocking(standings, 'vm-1')
    assert [found.member for found in blocking] == [guest]


def test_gone_members_are_removable_if_all_were_asked_lately():
    evidence = _evidence(_quiet())
    standings = isolation.standing(evidence, 97.0)
    assert isolation.removable(evidence, standings, 97.0) == ('e3-1',)
    assert isolation.removable(evidence, standings, 98.0) == ()
