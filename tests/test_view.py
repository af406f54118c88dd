"""Tests of view."""

from oleanderwood import config_state
from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import roster
from oleanderwood import view
from tests import utils_membership as build


def _may_send(entry, now_s=0.0, epoch=1):
    return view.may_send(entry, 'vm-1', epoch, now_s)


def test_sends_under_the_epoch_of_a_serving_row_only():
    entry = build.joined()
    assert _may_send(entry)
    assert not _may_send(entry, epoch=2)
    moved = build.row(epoch=2, state=fleet.VmState.RELEASING)
    assert grants.apply_shard(entry.grants, build.shard(2, [moved]))
    assert not _may_send(entry)
    assert not _may_send(entry, epoch=2)
    assert view.serving(entry, build.POOL) == ()


def test_no_send_without_contact():
    entry = build.joined(now_s=100.0)
    assert _may_send(entry, 105.9)
    assert not _may_send(entry, 106.0)
    assert 'isolated' in view.ready(entry, 106.0)


def test_contact_after_isolation_does_not_bring_grants_back():
    entry = build.joined(now_s=100.0)
    view.contact(entry, 106.5, 107.0)
    assert not _may_send(entry, 107.0)
    view.grant(entry)
    assert _may_send(entry, 107.0)


def test_sponsored_entry_cuts_as_soon_as_it_is_isolated():
    """Its sponsor stops naming it to the leader soon after."""
    entry = build.joined(now_s=100.0)
    assert not view.must_cut(entry, 129.9)
    assert view.must_cut(entry, 130.0)
    view.grant(entry, 'e2-1')
    assert not view.must_cut(entry, 105.9)
    view.lapse(entry, 106.0)
    assert view.must_cut(entry, 106.0)


def test_lower_revisions_are_refused_and_counted():
    entry = build.joined(revision=3)
    assert not grants.apply_shard(entry.grants, build.shard(2, []))
    assert not config_state.apply(entry.config, build.head(0), build.content())
    assert _may_send(entry)
    assert entry.counts.refusals == {'shard': 1, 'configuration': 1}


def test_leaving_vm_gets_no_new_work():
    entry = build.joined()
    grants.apply_listing(entry.grants, build.leaving())
    assert not _may_send(entry)
    assert view.serving(entry, build.POOL) == ()


def test_requests_of_earlier_epochs_are_held():
    entry = build.joined()
    view.begin(entry, 'vm-1', 1)
    assert grants.held(entry.grants) == {}
    grants.apply_shard(entry.grants, build.shard(2, [build.row(epoch=3)]))
    assert grants.held(entry.grants) == {'vm-1': 1}
    view.end(entry, 'vm-1', 1)
    assert grants.held(entry.grants) == {}


def test_vm_in_two_shards_serves_in_neither():
    entry = build.joined()
    grants.apply_shard(entry.grants, build.shard(1, data_centre='dc-2'))
    assert not _may_send(entry)
    assert entry.counts.breaches['VM in two shards'] == 1


def test_staged_revision_is_in_doubt_until_the_head_is_read():
    entry = build.joined()
    assert (
        config_state.stage(
            entry.config, build.head(2), build.content(size=2), 10.0
        )
        == ''
    )
    assert config_state.in_doubt(entry.config, 13.9) == 0
    assert config_state.in_doubt(entry.config, 14.0) == 2
    config_state.check(entry.config, 13.0)
    assert config_state.in_doubt(entry.config, 14.0) == 0
    assert config_state.commit(entry.config, 2, 'apply-2')
    assert entry.config.content.pools[0].size == 2
    assert entry.config.stages == {}


def test_operators_race_for_one_revision():
    entry = build.joined()
    config_state.stage(
        entry.config, build.head(2, 'a'), build.content(size=2), 0.0
    )
    config_state.stage(
        entry.config, build.head(2, 'b'), build.content(size=3), 0.0
    )
    assert config_state.commit(entry.config, 2, 'b')
    assert not config_state.commit(entry.config, 2, 'a')
    assert entry.config.content.pools[0].size == 3
    assert (
        config_state.stage(
            entry.config, build.head(2, 'c'), build.content(), 0.0
        )
        != ''
    )


def test_entry_taken_off_the_roster_stops():
    entry = build.joined()
    known = roster.join(roster.EMPTY, entry.member)
    view.apply_roster(entry, known)
    assert _may_send(entry)
    view.apply_roster(entry, roster.leave(known, entry.member.incarnation))
    assert not _may_send(entry)
