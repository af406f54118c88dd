"""What is told of jobs when log lines were dropped or truncated."""

import pytest

from emulator import day
from emulator import troubles
from oleanderwood import clock
from oleanderwood import event_log

from oleanderwood.operators import causes
from oleanderwood.operators import ctl
from oleanderwood.operators import explain
from oleanderwood.operators import missing
from tests import utils_logs as logs

Cause = causes.Cause
Outcome = causes.Outcome


def _both(*rows):
    """Return outcome and cause of the only job, and its story's cause."""
    finding = logs.find(*rows)
    story = explain.explain(logs.by_time(*rows), 'j')
    return finding.outcome, finding.cause, story.cause


def test_dropped_taken_line_is_not_taken_for_a_job_that_no_leader_took():
    rows = [*logs.leads(1.0), logs.handed_in(10.0)]
    assert logs.find(*rows).cause is Cause.NO_LEADER
    rows.append(logs.gap(10.1, 10.4, decisive=1))
    unknown = Outcome.UNKNOWN, Cause.DROPPED, explain.Cause.DROPPED
    assert _both(*rows) == unknown


def test_dropped_ended_line_is_not_taken_for_a_job_not_served():
    rows = [*logs.leads(1.0), logs.handed_in(10.0), logs.taken(10.0)]
    rows += logs.run(10.1, 11.0)
    assert logs.find(*rows).outcome is Outcome.NOT_SERVED
    rows.append(logs.gap(11.0, 11.2, decisive=4))
    unknown = Outcome.UNKNOWN, Cause.DROPPED, explain.Cause.DROPPED
    assert _both(*rows) == unknown


def test_lines_dropped_before_a_job_or_by_kind_hide_no_job_not_served():
    # All jobs without an end would otherwise be unknown on a busy day.
    rows = [
        *logs.leads(1.0),
        logs.gap(5.0, 5.9, decisive=9),
        logs.handed_in(10.0),
        logs.taken(10.0),
        *logs.run(10.1, 11.0),
        logs.gap(30.0, 30.5, other=900),
    ]
    assert logs.find(*rows).outcome is Outcome.NOT_SERVED


def test_drop_long_after_a_call_hides_no_job_that_no_leader_took():
    late_s = 10.0 + missing.TAKEN_WITHIN_S + 0.1
    rows = [
        *logs.leads(1.0),
        logs.handed_in(10.0),
        logs.gap(late_s, late_s, decisive=1),
    ]
    assert logs.find(*rows).cause is Cause.NO_LEADER


def test_drop_on_a_server_that_did_not_lead_hides_no_leaders_line():
    rows = [
        *logs.leads(1.0),
        logs.handed_in(10.0),
        logs.gap(10.1, 10.2, decisive=1, node=logs.OTHER),
        logs.row(12.0, 'leader', 'confirmed'),
    ]
    assert logs.find(*rows).cause is Cause.NO_LEADER


@pytest.mark.parametrize('at_s', [10.2, 12.0])
def test_each_of_several_leaders_may_have_dropped_the_line(at_s):
    rows = [
        *logs.leads(1.0),
        *logs.leads(11.0, 's3'),
        logs.row(11.5, 'leader', 'ended'),
        logs.handed_in(10.0),
        logs.gap(at_s, at_s, decisive=1, node='s1' if at_s < 11 else 's3'),
        logs.row(20.0, 'leader', 'confirmed', 's3'),
    ]
    assert logs.find(*rows).cause is Cause.DROPPED


def test_drop_after_a_term_hides_no_leaders_line():
    rows = [
        *logs.leads(1.0),
        logs.row(8.0, 'leader', 'ended'),
        *logs.leads(9.0, 's3'),
        logs.handed_in(10.0),
        logs.gap(10.2, 10.3, decisive=1),
        logs.row(20.0, 'leader', 'confirmed', 's3'),
    ]
    assert logs.find(*rows).cause is Cause.NO_LEADER


def test_server_whose_whole_term_may_be_dropped_counts_as_a_leader():
    rows = [
        logs.handed_in(10.0),
        logs.gap(9.0, 13.0, decisive=50, node='s3'),
    ]
    assert logs.find(*rows).cause is Cause.DROPPED


def test_term_whose_begin_was_dropped_is_known_by_its_lines_on_jobs():
    rows = [
        *logs.leads(1.0, 's3'),
        logs.row(9.0, 'leader', 'confirmed', 's3'),
        logs.row(20.0, 'leader', 'confirmed', 's3'),
        logs.handed_in(10.0),
        logs.gap(10.1, 10.2, decisive=3),
        logs.ended(14.0, job='k'),
    ]
    assert _of(rows, 'j').cause is Cause.DROPPED


def test_runs_show_that_a_leader_took_the_job():
    # Its line was dropped; the job itself was served well.
    rows = [
        *logs.leads(1.0),
        logs.taken(5.0, job='k'),
        logs.ended(5.5, job='k'),
        logs.handed_in(10.0),
        logs.gap(10.0, 10.1, decisive=1),
        *logs.run(10.1, 11.0),
        logs.ended(11.0),
    ]
    found = {row.job.name: row for row in causes.find(logs.by_time(*rows))}
    assert found['j'].outcome is Outcome.IN_TIME


def test_late_job_whose_taken_line_was_dropped_has_a_cause_if_it_ended():
    rows = [
        *logs.leads(1.0),
        logs.taken(5.0, job='k'),
        logs.ended(5.1, job='k'),
        logs.handed_in(10.0),
        logs.gap(10.0, 10.1, decisive=1),
        *logs.run(14.0, 15.0),
        logs.ended(15.0),
    ]
    assert _of(rows, 'j').cause is Cause.DROPPED
    assert _of(rows, 'j').outcome is Outcome.LATE


def _of(rows, job):
    found = causes.find(logs.by_time(*rows))
    return next(row for row in found if row.job.name == job)


def test_job_that_a_new_leader_read_waited_for_that_leader_without_a_line():
    # A new leader writes no taken line for what it reads in the store.
    rows = [
        logs.handed_in(10.0),
        *logs.leads(16.0),
        logs.taken(17.0, job='k'),
        logs.ended(17.1, job='k'),
        *logs.run(16.1, 17.0),
        logs.ended(17.0, after_s=1.0),
    ]
    finding = _of(rows, 'j')
    assert finding.cause is Cause.NO_LEADER
    assert finding.job.taken_s == 16.0


def test_end_under_a_later_leader_does_not_tell_when_the_job_was_taken():
    rows = [
        *logs.leads(1.0),
        logs.taken(5.0, job='k'),
        logs.ended(5.1, job='k'),
        logs.gap(10.0, 10.1, decisive=1),
        *logs.run(14.0, 15.0),
        *logs.leads(14.5, 's2'),
        logs.ended(15.0, after_s=0.5, queue='q'),
    ]
    assert _of([*rows, logs.handed_in(10.0)], 'j').cause is Cause.DROPPED
    # Without the call, the time that its caller waited is unknown as well.
    assert _of(rows, 'j').outcome is Outcome.UNKNOWN


def test_job_known_only_by_its_end_is_told_if_its_lines_were_dropped():
    rows = [
        *logs.leads(1.0),
        logs.gap(9.5, 10.5, other=50, decisive=20),
        logs.ended(16.0, after_s=6.0, queue='q'),
    ]
    finding = logs.find(*rows)
    assert finding.job.taken_s == 10.0 and finding.cause is Cause.DROPPED
    assert not causes.find(logs.by_time(logs.ended(16.0, after_s=6.0)))


def test_dropped_run_lines_make_no_job_late():
    # Its objective counts from the length of its runs.
    rows = [*logs.leads(1.0), logs.taken(10.0, tasks=2, steps=2)]
    rows += [*logs.run(10.0, 11.0), logs.ended(13.0)]
    late = logs.find(*rows)
    assert late.outcome is Outcome.LATE
    finding = logs.find(*rows, logs.gap(11.2, 11.6, other=300))
    assert finding.outcome is Outcome.UNKNOWN
    assert finding.cause is Cause.DROPPED and finding.wait_s != finding.wait_s


def test_dropped_run_lines_are_not_taken_for_a_late_end():
    rows = [*logs.leads(1.0), logs.taken(10.0, tasks=2)]
    rows += [*logs.run(10.0, 11.0), logs.ended(15.0)]
    assert logs.find(*rows).cause is Cause.KEPT_LATE
    finding = logs.find(*rows, logs.gap(11.2, 11.6, other=300))
    assert finding.outcome is Outcome.LATE and finding.cause is Cause.DROPPED


def test_dropped_line_on_short_pools_does_not_blame_the_order():
    rows = [*logs.leads(1.0), logs.taken(10.0), *logs.run(14.0, 15.0)]
    rows += [logs.ended(15.0)]
    assert logs.find(*rows).cause is Cause.ORDER
    finding = logs.find(*rows, logs.gap(10.5, 10.6, decisive=1))
    assert finding.cause is Cause.DROPPED


@pytest.mark.parametrize('cut', [True, ['pools']])
def test_truncated_line_on_short_pools_is_read_as_far_as_it_goes(cut):
    rows = [*logs.leads(1.0), logs.taken(10.0), *logs.run(14.0, 15.0)]
    rows += [logs.ended(15.0)]
    short = logs.row(10.5, 'fleet', 'short', cut=cut)
    assert logs.find(*rows, short).cause is Cause.CUT
    short['pools'] = {'p': {'has': 1, 'needs': 2}}
    assert logs.find(*rows, short).cause is Cause.MACHINES


def test_truncated_taken_line_does_not_count_a_serving_job_as_not_served():
    cut = logs.taken(10.0, cut=['traits'])
    finding = logs.find(*logs.leads(1.0), cut)
    assert (finding.outcome, finding.cause) == (Outcome.UNKNOWN, Cause.CUT)
    whole = logs.taken(10.0, cut=['guesses_ms'])
    finding = logs.find(*logs.leads(1.0), whole)
    assert finding.outcome is Outcome.NOT_SERVED


def test_job_that_a_line_on_its_limit_does_not_name_waited_for_the_limit():
    # Such a line names 20 jobs, and counts the rest.
    limit = logs.row(10.2, 'tenant', 'at-limit', tenant='acme', jobs=['k'])
    rows = [*logs.leads(1.0), logs.handed_in(10.0), logs.taken(10.0)]
    rows += [*logs.run(14.0, 15.0), logs.ended(15.0)]
    assert logs.find(*rows, {**limit, 'waiting': 1}).cause is Cause.ORDER
    found = logs.find(*rows, {**limit, 'waiting': 9})
    assert found.cause is Cause.TENANT_LIMIT


@pytest.mark.parametrize(
    ('why', 'text'),
    [
        ('over-share', 'refused: its customer had more than its share'),
        ('too-late', 'refused: it would have been too late'),
    ],
)
def test_refusal_names_its_reason_and_who_had_the_capacity(why, text):
    rows = logs.by_time(*logs.leads(1.0), logs.not_admitted(10.0, why))
    finding = logs.find(*rows)
    assert finding.outcome is Outcome.NOT_SERVED
    assert finding.cause.value == text and finding.holder == 'globex'
    line = f'     1 not served: {text}; globex had the capacity'
    assert line in causes.table([finding])
    story = explain.explain(rows, 'j')
    assert story.cause.value == text and story.holder == 'globex'


def test_job_refused_first_and_accepted_later_counts_as_accepted():
    rows = [
        *logs.leads(1.0),
        logs.not_admitted(10.0, 'over-share'),
        logs.handed_in(11.1, after_ms=5.0),
        logs.taken(11.1),
        *logs.run(11.1, 12.1),
        logs.ended(12.1),
    ]
    # Its objective counts from its first call.
    finding = logs.find(*rows)
    assert finding.outcome is Outcome.IN_TIME and finding.wait_s > 1.0
    story = explain.explain(logs.by_time(*rows), 'j')
    assert story.cause is not explain.Cause.OVER_SHARE


@pytest.mark.parametrize('accepted', [True, False])
def test_late_job_was_late_for_its_refusals_and_not_for_want_of_a_leader(
    accepted,
):
    rows = [
        *logs.leads(1.0),
        logs.not_admitted(10.0, 'too-late'),
        logs.not_admitted(12.9, 'over-share'),
        logs.taken(13.0),
        *logs.run(13.0, 14.0),
        logs.ended(14.0),
    ]
    if accepted:
        rows.append(logs.handed_in(13.0))
    finding = logs.find(*rows)
    assert finding.outcome is Outcome.LATE
    assert finding.cause is Cause.OVER_SHARE and finding.holder == 'globex'


def test_dropped_acceptance_after_a_refusal_is_not_taken_for_a_refusal():
    rows = [*logs.leads(1.0), logs.not_admitted(10.0, 'over-share')]
    unknown = Outcome.UNKNOWN, Cause.DROPPED, explain.Cause.DROPPED
    assert _both(*rows, logs.gap(11.0, 11.2, decisive=9)) == unknown
    late_s = 10.0 + missing.RETRIES_S + 0.1
    later = logs.gap(late_s, late_s, decisive=9)
    assert logs.find(*rows, later).cause is Cause.OVER_SHARE


def test_job_that_its_caller_cancelled_needs_no_leaders_line():
    rows = [
        *logs.leads(1.0),
        logs.taken(10.0),
        logs.row(11.0, 'caller', 'cancelled', logs.OTHER, job='j', there=True),
    ]
    assert causes.find(logs.by_time(*rows)) == []


def test_report_counts_dropped_lines_by_server_and_second():
    rows = logs.by_time(
        *logs.leads(1.0),
        logs.handed_in(10.0),
        logs.gap(10.1, 10.3, other=30, decisive=2),
        logs.gap(10.4, 10.9, other=8),
        logs.gap(12.2, 15.7, other=5, decisive=1, node='s2', after_s=2.0),
        logs.row(16.0, 'fleet', 'short', pools={}, cut=['pools']),
        logs.not_admitted(17.0, 'over-share', job='k', untold=12),
    )
    lines = causes.report(rows)
    place = lines.index(
        "log lines dropped: 46, of them 3 that determine a job's history"
    )
    assert lines[place + 1 :] == [
        '  s1 10: 40 dropped, 2 decisive',
        '  s2 12 to 15: 6 dropped, 1 decisive, no line written',
        'log lines truncated: 1',
        'refused calls without a line of their own: 12',
        'jobs of which it therefore cannot be told: 1',
        'jobs with all lines dropped are not in this table',
    ]
    assert '     1 unknown: log lines were dropped' in lines


def test_report_of_whole_logs_says_nothing_of_missing_lines():
    rows = logs.by_time(
        *logs.leads(1.0), logs.taken(10.0), *logs.run(10, 11), logs.ended(11)
    )
    assert not any('dropped' in line for line in causes.report(rows))


def test_count_of_the_version_before_may_be_of_any_kind_since_the_last_line():
    # It says neither when lines were dropped nor of which kind.
    rows = logs.by_time(
        *logs.leads(1.0),
        logs.handed_in(10.0),
        logs.row(13.0, 'worker', 'met', dropped=7),
    )
    (gap,) = missing.find(rows).gaps
    assert missing.gap_line(gap) == 's1 1 to 13: 7 dropped, of any kind'
    assert (gap.since_s, gap.until_s, gap.decisive) == (1.0, 13.0, 7)
    assert logs.find(*rows).cause is Cause.DROPPED


def test_story_tells_of_the_lines_that_were_dropped_meanwhile():
    rows = logs.by_time(
        *logs.leads(1.0),
        logs.gap(3.0, 3.5, other=1),
        logs.handed_in(10.0),
        logs.taken(10.0),
        logs.gap(10.2, 10.3, other=30),
        *logs.run(12.0, 13.0),
        logs.ended(13.0),
        logs.gap(20.0, 20.5, decisive=1),
    )
    story = explain.explain(rows, 'j')
    assert story.gaps == ['s1 10: 30 dropped, 0 decisive']
    # Its first run may have started before.
    assert story.cause is explain.Cause.DROPPED


def test_story_of_an_unknown_job_tells_that_its_lines_may_be_dropped():
    rows = logs.by_time(*logs.leads(1.0), logs.gap(3.0, 3.5, decisive=1))
    assert explain.explain(rows, 'j').cause is explain.Cause.DROPPED
    rows = logs.by_time(*logs.leads(1.0), logs.gap(3.0, 3.5, other=1))
    assert explain.explain(rows, 'j').cause is explain.Cause.UNKNOWN


def test_story_of_a_job_whose_acceptance_has_no_line_is_no_refusal():
    rows = [logs.handed_in(10.0, verdict='not-run'), logs.taken(11.0)]
    rows += [*logs.run(11.0, 11.5), logs.ended(11.5)]
    story = explain.explain(logs.by_time(*rows), 'j')
    assert story.cause is not explain.Cause.REFUSED


def test_failed_job_whose_run_lines_were_dropped_is_told_by_its_end():
    why = 'j.0.0.0 crashed 3 workers'
    rows = logs.by_time(
        logs.taken(10.0), logs.ended(12.0, state='failed', why=why)
    )
    story = explain.explain(rows, 'j')
    assert story.cause is explain.Cause.CRASHED_WORKERS


def test_saved_line_is_read_whatever_its_text_contains(tmp_path, capsys):
    # A line separator in a text ended the line, a broken character the file.
    file = tmp_path / 's1.log'
    taken = (
        '{"time_s":1.0,"part":"job","event":"taken","job":"j","q":"\u2028"}'
    )
    file.write_bytes(taken.encode() + b'\n{"time_s":2.0,"q":"\xff\n')
    assert ctl.explain_job('j', file) == ctl.Exit.OK
    assert 'job taken' in capsys.readouterr().out


def test_commands_tell_of_missing_lines(tmp_path, capsys):
    file = tmp_path / 's1.log'
    file.write_text(
        '{"time_s":9.0,"part":"leader","event":"leads","node":"s1"}\n'
        '{"time_s":10.0,"part":"caller","event":"handed-in","node":"s1",'
        '"job":"j","queue":"q","verdict":"ran"}\n'
        '{"time_s":11.0,"part":"worker","event":"met","node":"s1",'
        '"dropped":3,"dropped_decisive":2,"dropped_since_s":10.1,'
        '"dropped_until_s":10.2}\n'
    )
    assert ctl.tell_causes(file) == ctl.Exit.OK
    assert '  s1 10: 5 dropped, 2 decisive\n' in capsys.readouterr().out
    assert ctl.explain_job('j', file) == ctl.Exit.REFUSED
    assert 'missing: s1 10: 5 dropped' in capsys.readouterr().out


def _drop(rows, is_dropped):
    """Return rows without dropped ones, which the next row states."""
    kept, dropped = [], []
    for row in rows:
        if is_dropped(row):
            dropped.append(row)
            continue
        if dropped:
            decisive = sum(
                event_log.is_decisive(row['part'], row['event'])
                for row in dropped
            )
            row = {
                **row,
                'dropped': len(dropped) - decisive,
                'dropped_decisive': decisive,
                'dropped_since_s': dropped[0]['time_s'],
                'dropped_until_s': dropped[-1]['time_s'],
            }
            dropped = []
        kept.append(row)
    return kept


@pytest.mark.parametrize('decisive', [True, False])
@pytest.mark.parametrize('seed', [3, 4, 5])
def test_dropped_lines_make_outcomes_unknown_and_never_wrong(
    monkeypatch, seed, decisive
):
    # What is told of a day with all its lines is what happened.
    rows = []

    def emit(part, event, **fields):
        rows.append(logs.row(clock.now_s(), part, event, **fields))

    monkeypatch.setattr(event_log, 'emit', emit)
    down = troubles.Trouble(troubles.Kind.STORE_DOWN, 12.0, 3.0)
    day.play(day.Plan(seed, troubles=(down,), jobs_per_s=6.0))
    whole = {row.job.name: row for row in causes.find(rows)}

    def is_dropped(row):
        if event_log.is_decisive(row['part'], row['event']) and not decisive:
            return False
        return 4.0 <= row['time_s'] % 10.0 <= 4.5

    told = {row.job.name: row for row in causes.find(_drop(rows, is_dropped))}
    unknown = [row for row in told.values() if row.cause in causes.UNKNOWN]
    assert unknown and len(unknown) < 0.6 * len(told)
    outcomes = {name: row.outcome for name, row in whole.items()}
    wrong = [
        (name, row.outcome, outcomes.get(name))
        for name, row in told.items()
        if row.outcome not in (outcomes.get(name), Outcome.UNKNOWN)
    ]
    assert not wrong
