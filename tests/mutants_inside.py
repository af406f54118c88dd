"""Defects that tests plant themselves, by node id."""

from tests import utils_mutants as utils

KIND = utils.Invariant
inside = utils.inside

SCHEDULE = 'defects_controller.py::test_schedule_shows_the_defect'
LISTS = 'defects_controller.py::test_lists_out_of_order_show_the_defect'
OWNERSHIP = 'model_ownership.py::test_found_'
LEADERS = 'model_leaders.py::test_found_'
SPONSOR = 'model_sponsor.py::test_found_'
CONFIG = 'model_config.py::test_found_'
TWO_APPLIES = 'model_configuration.py::test_planted_defect_is_found'
ROLLOUT = 'rollout.py::test_planted_defect_is_caught'
KEYS = 'idempotency.py::test_each_mechanism_is_needed'
TASKS = 'task_table.py::test_defect_is_found'
PLACEMENT = 'placement.py::test_defect_is_found'
BLAME = 'blame.py::test_defect_is_found'

_CONTROLLER = (
    *inside(KIND.BUDGET, 'batch', SCHEDULE, 'no-budget'),
    *inside(KIND.BUDGET, 'batch', SCHEDULE, 'planner-without-budget'),
    *inside(KIND.ONE_POOL, 'release', SCHEDULE, 'release-without-asking'),
    *inside(
        KIND.STOP, 'isolation', SCHEDULE, 'release-with-requests-in-flight'
    ),
    *inside(KIND.ONE_POOL, 'region_shards', SCHEDULE, 'fence-without-writing'),
    *inside(
        KIND.ONE_POOL,
        'region_leader',
        SCHEDULE,
        'order-before-writing',
        'go-on-after-a-lost-answer',
    ),
    *inside(
        KIND.ONE_POOL,
        'lifecycle',
        SCHEDULE,
        'order-replaced-before-taken',
        'move-without-release',
    ),
    *inside(KIND.ONE_POOL, 'inventory', SCHEDULE, 'drop-vanished-vms-at-once'),
    *inside(KIND.ONE_POOL, 'ownership', SCHEDULE, 'epochs-stand-still'),
    *inside(KIND.ONE_POOL, 'inventory', LISTS, 'old-lists-count'),
    *inside(KIND.ONE_POOL, 'ownership', LISTS, 'list-version-not-kept'),
)

_MODELS = (
    *inside(
        KIND.ONE_POOL, 'release', OWNERSHIP + 'leader_reads_the_roster_first'
    ),
    *inside(KIND.LEAVING, 'view', OWNERSHIP + 'contact_age_is_ignored'),
    *inside(
        KIND.LEAVING, 'view', OWNERSHIP + 'contact_counts_from_the_answer'
    ),
    *inside(KIND.LEAVING, 'view', OWNERSHIP + 'contact_brings_grants_back'),
    *inside(
        KIND.ONE_POOL, 'anomalies', OWNERSHIP + 'lower_revisions_are_accepted'
    ),
    *inside(
        KIND.ONE_POOL,
        'view',
        OWNERSHIP + 'peer_without_standing_gives_contact',
    ),
    *inside(
        KIND.ONE_POOL,
        'isolation',
        OWNERSHIP + 'isolation_is_concluded_too_early',
    ),
    *inside(
        KIND.ONE_POOL,
        'isolation',
        OWNERSHIP + 'order_of_key_and_answers_is_ignored',
    ),
    *inside(
        KIND.ONE_POOL, 'release', LEADERS + 'leader_reads_the_roster_first'
    ),
    *inside(
        KIND.ONE_POOL, 'region_shards', LEADERS + 'writes_without_comparing'
    ),
    *inside(
        KIND.ONE_POOL, 'grants', LEADERS + 'requests_in_flight_are_ignored'
    ),
    *inside(KIND.ONE_POOL, 'isolation', LEADERS + 'one_answer_is_enough'),
    *inside(
        KIND.ONE_POOL, 'anomalies', LEADERS + 'lower_revisions_are_accepted'
    ),
    *inside(
        KIND.ONE_POOL,
        'neighbours',
        SPONSOR + 'sponsor_does_not_name_the_sponsored',
    ),
    *inside(
        KIND.ONE_POOL,
        'view',
        SPONSOR + 'sponsored_contact_is_as_young_as_the_reply',
    ),
    *inside(KIND.ONE_POOL, 'isolation', SPONSOR + 'successor_counts_at_once'),
    *inside(
        KIND.ONE_POOL,
        'view',
        SPONSOR + 'sponsored_entry_need_not_follow_as_far',
    ),
)

_CONFIGURATION = (
    *inside(
        KIND.CONFIG, 'catch_up', CONFIG + 'joining_entry_reads_no_records'
    ),
    *inside(
        KIND.CONFIG,
        'rollout',
        CONFIG + 'swap_without_waiting_for_an_acknowledgement',
    ),
    *inside(KIND.CONFIG, 'anomalies', CONFIG + 'lower_revisions_are_accepted'),
    *inside(
        KIND.CONFIG,
        'config_state',
        CONFIG + 'new_stage_takes_the_place_of_another',
    ),
    *inside(
        KIND.CONFIG,
        'config_state',
        CONFIG + 'staged_revision_is_put_in_force_at_once',
    ),
    *inside(
        KIND.CONFIG,
        'rollout',
        TWO_APPLIES,
        '_swap_early-start0',
        '_doubt_is_dropped-start1',
        '_new_members_not_told-start2',
    ),
    *inside(
        KIND.CONFIG,
        'rollout',
        ROLLOUT,
        '_swap_early',
        '_base_unchecked',
        '_roster_not_read_after',
        '_timeout_counts_as_consent',
        '_any_commit_reply_is_in_force',
    ),
    *inside(KIND.NOT_RUN, 'rollout', ROLLOUT, '_lost_answer_is_not_run'),
    *inside(
        KIND.CONFIG,
        'staging',
        'apply_death.py::test_death_without_a_record_is_caught',
    ),
    *inside(
        KIND.NOT_RUN,
        'operations',
        'store_faults.py::test_found_lost_answer_counts_as_conflict',
    ),
)

_KEYS = inside(
    KIND.ONCE,
    'idempotency',
    KEYS,
    '_floor_s-_floor_without_allowance-tell',
    '_unstamped_floor_s-_no_unstamped_floor-tell',
    '_judge_unknown-_judge_without_clock-tell',
    'settle-_settle_any_claim-_settle_twice',
    '_drop-_drop_without_floor-_crowd_out',
    'hand_over-_hand_over_without_freezing-_ask_during_hand_over',
    '_take_on-_take_on_any_records-_use_outdated_records',
)

_TASKS = (
    *inside(
        KIND.TASKS,
        'task_row',
        TASKS,
        *(
            f'oleanderwood.task_row-{name}'
            for name in (
                'lease_over_at_s-_lapses_at_once',
                'may_send-_sends_late',
                'not_seen-_trusts_first_absence',
                'answered-_takes_loss_for_refusal',
                'cancelled-_ends_when_cancelled',
                'unknown-<lambda>',
            )
        ),
    ),
    *inside(
        KIND.TASKS,
        'task_table',
        TASKS,
        'oleanderwood.task_table-_same_copy-_any_epoch',
        'oleanderwood.task_table-worker_restarted-_restart_ends_all',
        'oleanderwood.task_table-MAX_REPORT_GAP_S-1000000000.0',
    ),
    *inside(
        KIND.TASKS,
        'task_quotas',
        PLACEMENT,
        '_check_quotas-oleanderwood.task_quotas-allows-<lambda>',
        '_check_quotas-oleanderwood.task_quotas-add-<lambda>',
        '_check_progress-oleanderwood.task_quotas-allows-_keeps_always',
    ),
    *inside(
        KIND.TASKS,
        'worker_room',
        PLACEMENT,
        '_check_room-oleanderwood.worker_room-fits-<lambda>',
        '_check_room-oleanderwood.worker_room-take-<lambda>',
    ),
    *inside(
        KIND.TASKS,
        'copy_ends',
        PLACEMENT,
        '_check_stable-oleanderwood.copy_ends-decide-_leave_full_workers',
    ),
    *inside(
        KIND.TASKS,
        'feasibility',
        PLACEMENT,
        '_check_progress-oleanderwood.feasibility-never_run-_tells_nothing',
        '_check_progress-oleanderwood.feasibility-_within-<lambda>',
    ),
    *inside(
        KIND.TASKS,
        'task_row',
        'task_table.py::test_new_leader_resolves_intents_by_its_own_clock',
    ),
    *inside(
        KIND.TASKS,
        'worker_choice',
        'placement.py::test_spread_counts_copies_that_run',
    ),
    *inside(
        KIND.TASKS,
        'blame',
        BLAME,
        '_weight-<lambda>',
        '_may_set_aside-<lambda>',
        'MIN_UNEXPLAINED-0.5',
        'MIN_UNEXPLAINED-1000000000.0',
    ),
)

FORGED = 'checker.py::test_breach_of_'
SOAK = 'demo.checker'

_FORGED = (
    *inside(
        KIND.WHOLE,
        SOAK,
        FORGED + 'an_attempt',
        'Rule.ACCOUNTED-changes0',
        'Rule.ACCOUNTED-changes1',
        'Rule.ACCOUNTED-changes2',
        'Rule.OWN_ANSWER-changes3',
        'Rule.BODY-changes5',
    ),
    *inside(
        KIND.WHOLE, SOAK, 'checker.py::test_answer_without_a_run_is_found'
    ),
    *inside(
        KIND.NOT_RUN, SOAK, FORGED + 'an_attempt', 'Rule.NOT_RUN-changes4'
    ),
    *inside(
        KIND.ONCE, SOAK, 'checker.py::test_second_run_is_found_over_repeats'
    ),
    *inside(
        KIND.LEAVING,
        SOAK,
        FORGED + 'a_dispatch',
        *(f'Rule.GRANT-changes{number}' for number in range(4)),
        'Rule.ORDERED-changes4',
        'Rule.LEAVING-changes5',
    ),
    *inside(
        KIND.STOP,
        SOAK,
        'checker.py::test_planned_stop_that_cuts_is_found_and_abandoned_work'
        '_is_not',
    ),
    *inside(
        KIND.ONE_POOL,
        SOAK,
        FORGED + 'a_write',
        'Rule.ONE_POOL-write0',
        'Rule.EPOCH-write1',
        'Rule.EPOCH-write2',
    ),
    *inside(
        KIND.ONE_POOL,
        SOAK,
        'checker.py::test_work_of_two_pools_at_once_is_found',
    ),
    *inside(KIND.BUDGET, SOAK, FORGED + 'a_write', 'Rule.MIN_UP-write3'),
    *inside(
        KIND.BUDGET,
        SOAK,
        'checker.py::test_known_loss_counts_against_a_planned_step',
    ),
    *inside(KIND.CONFIG, SOAK, FORGED + 'a_write', 'Rule.REVERTED-write4'),
    *inside(
        KIND.CONFIG,
        SOAK,
        FORGED + 'the_configuration',
        'Rule.REVERTED-probe0',
        'Rule.IN_FORCE-probe1',
        'Rule.EARLY-probe2',
    ),
    *inside(
        KIND.TASKS, SOAK, 'checker.py::test_task_that_runs_twice_is_found'
    ),
)
"""Forged evidence, by which the checker of the long runs must fail."""

WAVES = 'wave.py::test_planted_defect_is_caught'
BUFFER = 'buffer.py::test_planted_defect_is_caught'
DAEMONS = 'faults/test_planted.py::test_planted_defect_is_noticed'

_WAVES = (
    *inside(
        KIND.BUDGET,
        'batch',
        WAVES,
        'check_minimum-oleanderwood.batch-_take-_take_all',
        'check_once-oleanderwood.batch-left_of-_forget',
    ),
    *inside(
        KIND.BUDGET,
        'reserve',
        WAVES,
        'check_reserve-oleanderwood.reserve-try_take-_take_if_asked',
    ),
    *inside(
        KIND.BUDGET,
        'budget',
        WAVES,
        'check_quarter-oleanderwood.budget-affords-<lambda>',
    ),
    *inside(
        KIND.TASKS,
        'buffer',
        WAVES,
        'check_progress-oleanderwood.buffer-_lend-<lambda>',
        'check_monotone-oleanderwood.buffer-_lend-_hoard',
    ),
    *inside(
        KIND.BUDGET,
        'buffer',
        BUFFER,
        'check_stable-_can_lend_extra-_lends_loans',
        'check_lenders_keep_their_minimum-_lender_vm-_any_vm',
        'check_data_centres-_spare_to_keep-_any_spare',
    ),
)

_DAEMONS = (
    *inside(KIND.LEAVING, 'catch_up', DAEMONS, 'deaf'),
    *inside(KIND.STOP, 'grants', DAEMONS, 'hides-work'),
    *inside(KIND.ONCE, 'retry', DAEMONS, 'repeats-all'),
    *inside(KIND.NOT_RUN, 'http_client', DAEMONS, 'denies-runs'),
    *inside(KIND.NOT_RUN, 'request_headers', DAEMONS, 'mute'),
    *inside(KIND.WHOLE, 'attempt', DAEMONS, 'mixes-answers'),
    *inside(KIND.CONFIG, 'config_state', DAEMONS, 'applies-staged'),
    *inside(KIND.CONFIG, 'rollout_run', DAEMONS, 'overwrites'),
    *inside(KIND.STOP, 'release', DAEMONS, 'waits-for-none'),
    *inside(KIND.BUDGET, 'reserve', DAEMONS, 'promises-nothing'),
    *inside(
        KIND.STOP,
        'http_server',
        'faults/test_planted.py::test_stop_that_cuts_is_noticed',
    ),
)
"""Whole daemons with a defect, which the checker must notice."""

MUTANTS = (
    *_DAEMONS,
    *_WAVES,
    *_CONTROLLER,
    *_MODELS,
    *_CONFIGURATION,
    *_KEYS,
    *_TASKS,
    *_FORGED,
)
