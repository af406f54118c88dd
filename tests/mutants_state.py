"""Planted defects of ownership, membership, budgets and configuration."""

from oleanderwood import absence
from oleanderwood import anomalies
from oleanderwood import availability
from oleanderwood import budget
from oleanderwood import call_budget
from oleanderwood import catch_up
from oleanderwood import change
from oleanderwood import config_state
from oleanderwood import fleet
from oleanderwood import follower
from oleanderwood import gossip
from oleanderwood import grants
from oleanderwood import history
from oleanderwood import isolation
from oleanderwood import leadership
from oleanderwood import ownership
from oleanderwood import parts
from oleanderwood import reserve
from oleanderwood import roster
from oleanderwood import staging
from oleanderwood import store
from oleanderwood import view
from tests import utils_mutants as utils

KIND = utils.Invariant


def _take_unasked(census, vm):
    reserve.take(census, vm)
    return True


def _serves_in_any_state(held, vm, epoch):
    row = held.rows.get(vm)
    return row is not None and row.epoch == epoch


def _serves_at_any_epoch(held, vm, epoch):
    row = held.rows.get(vm)
    return row is not None and row.state is fleet.VmState.SERVING


def _held_at_present_epochs(held):
    return {
        vm: count
        for (vm, epoch), count in held.in_flight.items()
        if held.rows[vm].epoch == epoch
        and held.rows[vm].state is not fleet.VmState.SERVING
    }


def _index_last(held):
    """Let the last shard that names a VM win."""
    held.rows = {
        row.vm: row for shard in held.shards.values() for row in shard.rows
    }


def _sent_ungranted(seen, vm, epoch, now_s):
    if view.isolated(seen, now_s):
        return False
    return grants.allows(seen.grants, vm, epoch)


def _grant_as_a_member(seen, sponsor=''):
    seen.granted = True
    seen.sponsor = sponsor


def _answer_of_any(evidence, member):
    answer = evidence.answers.get(member.peer)
    return None if answer is None else answer.reply


def _holds_for_ever(seat, now_s):
    return bool(seat.lease)


def _commit_any(state, number, operation):
    for found in state.stages.values():
        if found.head.revision == number and found.content is not None:
            return config_state.apply(state, found.head, found.content)
    return False


async def _read_head_alone(node):
    item = await node.store.get(store.CONFIG_HEAD_KEY)
    await catch_up.take_head(node, item, 0.0)


async def _fence_by_reading(kept, operation):
    head, _ = await change.read(kept, store.CONFIG_HEAD_KEY, staging.NO_HEAD)
    return head


async def _idle(*arguments):
    """Do nothing."""


async def _gone_despite_its_key(watcher, member):
    known, _ = await change.read(watcher.kept, store.ROSTER_KEY, roster.EMPTY)
    others = tuple(
        other
        for other in known.members
        if other.incarnation != member.incarnation
    )
    return await absence._unheard(watcher, member, others)


async def _async_true(*arguments):
    return True


def _refused(record, accepted, known_from, head):
    if record.operation in accepted:
        return history.Outcome.ACCEPTED
    return history.Outcome.REFUSED


def _true(*arguments):
    return True


def _false(*arguments):
    return False


def _empty(*arguments):
    return []


MUTANTS = (
    utils.planted(
        'minimum-counts-no-vm-that-is-out',
        KIND.BUDGET,
        'wave.py::test_vms_that_are_out_leave_no_room',
        (reserve, 'is_up', _true),
    ),
    utils.planted(
        'budget-of-quarter-ignored',
        KIND.BUDGET,
        'wave.py::test_spent_budget_of_the_quarter_stops_the_wave',
        (budget, 'affords', _true),
    ),
    utils.planted(
        'reserve-ignored',
        KIND.BUDGET,
        'wave.py::test_losses_to_survive_leave_no_room',
        (reserve, 'try_take', _take_unasked),
    ),
    utils.planted(
        'shortage-of-quarter-not-written',
        KIND.BUDGET,
        'availability.py::test_account_is_written_when_it_matters',
        (availability, '_missing', lambda account: {}),
    ),
    utils.planted(
        'assertion-of-minimum-off',
        KIND.BUDGET,
        'ownership.py::test_planned_losses_leave_min_up_failures_need_not',
        (ownership, '_of_min_up', _empty),
    ),
    utils.planted(
        'vm-in-two-shards-serves',
        KIND.ONE_POOL,
        'view.py::test_vm_in_two_shards_serves_in_neither',
        (grants, '_index', _index_last),
    ),
    utils.planted(
        'requests-of-earlier-epochs-forgotten',
        KIND.ONE_POOL,
        'view.py::test_requests_of_earlier_epochs_are_held',
        (grants, 'held', _held_at_present_epochs),
    ),
    utils.planted(
        'answer-of-successor-counts',
        KIND.ONE_POOL,
        'isolation.py::test_superseded_only_after_a_while',
        (isolation, '_own_reply', _answer_of_any),
    ),
    utils.planted(
        'sponsored-entry-cuts-late',
        KIND.ONE_POOL,
        'view.py::test_sponsored_entry_cuts_as_soon_as_it_is_isolated',
        (view, 'grant', _grant_as_a_member),
    ),
    utils.planted(
        'gone-at-once',
        KIND.ONE_POOL,
        'isolation.py::test_vm_gone_from_the_list',
        (isolation, 'QUIET_S', 0.0),
    ),
    utils.planted(
        'lease-of-leader-outlived',
        KIND.ONE_POOL,
        'region_shards.py::test_one_of_two_candidates_leads_until_its_lease'
        '_lapses',
        (leadership, 'holds', _holds_for_ever),
    ),
    utils.planted(
        'assertion-of-release-off',
        KIND.ONE_POOL,
        'ownership.py::test_vm_is_taken_only_once_released',
        (ownership, '_of_release', _empty),
    ),
    utils.planted(
        'assertion-of-joining-off',
        KIND.ONE_POOL,
        'ownership.py::test_vm_joins_once',
        (ownership, '_of_joining', _empty),
    ),
    utils.planted(
        'row-serves-in-any-state',
        KIND.LEAVING,
        'view.py::test_sends_under_the_epoch_of_a_serving_row_only',
        (grants, '_serves', _serves_in_any_state),
    ),
    utils.planted(
        'row-serves-at-any-epoch',
        KIND.LEAVING,
        'view.py::test_sends_under_the_epoch_of_a_serving_row_only',
        (grants, '_serves', _serves_at_any_epoch),
    ),
    utils.planted(
        'leaving-list-ignored',
        KIND.LEAVING,
        'view.py::test_leaving_vm_gets_no_new_work',
        (grants, 'apply_listing', _true),
    ),
    utils.planted(
        'list-not-polled',
        KIND.LEAVING,
        'follower.py::test_listing_is_polled',
        (follower, 'poll_list', _idle),
    ),
    utils.planted(
        'age-of-contact-ignored',
        KIND.LEAVING,
        'view.py::test_no_send_without_contact',
        (view, 'isolated', _false),
    ),
    utils.planted(
        'sends-before-joining-anew',
        KIND.LEAVING,
        'view.py::test_contact_after_isolation_does_not_bring_grants_back',
        (view, 'may_send', _sent_ungranted),
    ),
    utils.planted(
        'shard-of-peer-not-fetched',
        KIND.LEAVING,
        'follower.py::test_shard_comes_from_a_peer_when_the_store_is_down',
        (view, 'behind', lambda seen, theirs: ()),
    ),
    utils.planted(
        'lower-revisions-accepted',
        KIND.CONFIG,
        'view.py::test_lower_revisions_are_refused_and_counted',
        (anomalies, 'newer', _true),
    ),
    utils.planted(
        'restored-store-followed',
        KIND.CONFIG,
        'follower.py::test_store_restored_from_an_old_copy_is_refused',
        (anomalies, 'newer', _true),
    ),
    utils.planted(
        'never-in-doubt',
        KIND.CONFIG,
        'view.py::test_staged_revision_is_in_doubt_until_the_head_is_read',
        (config_state, 'in_doubt', lambda state, now_s: 0),
    ),
    utils.planted(
        'commit-of-another-operation',
        KIND.CONFIG,
        'view.py::test_operators_race_for_one_revision',
        (config_state, 'commit', _commit_any),
    ),
    utils.planted(
        'joins-without-reading-applies',
        KIND.CONFIG,
        'follower.py::test_joining_entry_knows_of_applies_under_way',
        (catch_up, 'join_config', _read_head_alone),
    ),
    utils.planted(
        'outcome-not-asked-for',
        KIND.CONFIG,
        'follower.py::test_entry_in_doubt_asks_all_members',
        (gossip, 'ask_outcome', _idle),
    ),
    utils.planted(
        'fence-does-not-write',
        KIND.CONFIG,
        'apply.py::test_fence_ends_a_swap_under_way',
        (staging, 'fence', _fence_by_reading),
    ),
    utils.planted(
        'damaged-part-accepted',
        KIND.CONFIG,
        'parts.py::test_fetch_refuses_another_part_under_the_reference',
        (parts, 'intact', _true),
    ),
    utils.planted(
        'member-that-was-heard-of-is-gone',
        KIND.CONFIG,
        'absence.py::test_who_was_heard_of_is_not',
        (isolation, 'QUIET_S', 0.0),
        mechanism='absence',
    ),
    utils.planted(
        'member-with-a-key-is-gone',
        KIND.CONFIG,
        'absence.py::test_who_renews_its_key_is_not',
        (absence, '_gone', _gone_despite_its_key),
    ),
    utils.planted(
        'silent-member-counts-as-quiet',
        KIND.CONFIG,
        'absence.py::test_an_answer_that_is_missing_proves_nothing',
        (absence, '_ended', _async_true),
    ),
    utils.planted(
        'undecided-apply-refused',
        KIND.CONFIG,
        'history.py::test_unknown_chain_refuses_nothing_that_may_have_run',
        (history, '_outcome', _refused),
    ),
    utils.planted(
        'calls-without-budget',
        KIND.TASKS,
        'store_client.py::test_calls_over_the_budget_wait_their_turn',
        (call_budget, 'take', lambda budget, now_s: 0.0),
    ),
)
