"""Tests of the way from a job's id to the cause of its failure."""

import json

from emulator import day
from emulator import features
from emulator import troubles
from oleanderwood import clock
from oleanderwood import event_log
from oleanderwood.operators import explain

Kind = troubles.Kind


def _played(monkeypatch, plan):
    """Play a day; gives its log as text lines, and the result."""
    lines = []

    def emit(part, event, **fields):
        row = {'time_s': clock.now_s(), 'part': part, 'event': event}
        lines.append('12.3 s1 ' + json.dumps({**row, **fields}, default=str))

    monkeypatch.setattr(event_log, 'emit', emit)
    result = day.play(plan)
    return explain.read(lines), result


def test_refused_request_is_told_as_not_run(monkeypatch):
    down = troubles.Trouble(Kind.STORE_DOWN, 2.0, 8.0)
    rows, result = _played(monkeypatch, day.Plan(3, troubles=(down,)))
    refused = [
        row['job']
        for row in rows
        if row['event'] == 'handed-in' and row['verdict'] == 'not-run'
    ]
    started = {sight.job for sight in result.evidence.sights if sight.task}
    never = [job for job in refused if job not in started]
    assert never
    story = explain.explain(rows, never[0])
    assert story.cause is explain.Cause.REFUSED
    assert any('503' in line or 'not-written' in line for line in story.lines)


def test_failed_job_names_its_task(monkeypatch):
    rows, _result = _played(monkeypatch, day.Plan(6, jobs_per_s=4.0))
    failed = [
        row['job']
        for row in rows
        if row['event'] == 'ended' and row.get('state') == 'failed'
    ]
    assert failed
    story = explain.explain(rows, failed[0])
    assert story.cause is explain.Cause.TASK_FAILED
    assert any('failed 3 times' in line for line in story.lines)


def test_late_job_that_lost_its_worker_tells_so(monkeypatch):
    crashes = tuple(
        troubles.Trouble(Kind.EXECUTOR_CRASHED, 2.0 + number, 2.0)
        for number in range(6)
    )
    rows, _result = _played(monkeypatch, day.Plan(8, troubles=crashes))
    causes = {
        explain.explain(rows, row['job']).cause
        for row in rows
        if row['event'] == 'taken' and row['part'] == 'job'
    }
    assert explain.Cause.LOST_RUNS in causes


def test_cancelled_job_and_unknown_job(monkeypatch):
    rows, _result = _played(monkeypatch, day.Plan(2, jobs_per_s=4.0))
    cancelled = [
        row['job']
        for row in rows
        if row['part'] == 'job' and row.get('state') == 'cancelled'
    ]
    story = explain.explain(rows, cancelled[0])
    assert story.cause is explain.Cause.CANCELLED
    assert explain.explain(rows, 'f' * 16).cause is explain.Cause.UNKNOWN


def test_lines_of_others_are_passed_over():
    assert explain.read(['noise', '{"time_s": broken', '']) == []


def test_line_that_counts_jobs_touches_none():
    rows = explain.read(
        [
            '{"time_s":1.0,"part":"leader","event":"leads","jobs":7}',
            '{"time_s":2.0,"part":"job","event":"taken","job":"a"}',
        ]
    )
    assert len(explain.explain(rows, 'a').lines) == 1


def test_job_whose_runs_are_held_back_tells_so():
    rows = explain.read(
        [
            '{"time_s":1.0,"part":"job","event":"taken","job":"a"}',
            '{"time_s":1.1,"part":"run","event":"start","task":"a.0.0.0"}',
            '{"time_s":9.0,"part":"run","event":"held-back","task":"a.0.0.0"}',
        ]
    )
    assert explain.explain(rows, 'a').cause is explain.Cause.HELD_BACK


def test_job_that_crashes_workers_is_told_with_each_of_them(monkeypatch):
    plan = day.Plan(1, features=(features.Feature.CRASHES,))
    rows, result = _played(monkeypatch, plan)
    failed = [
        row['job']
        for row in rows
        if row['event'] == 'ended' and 'crashed' in row.get('why', '')
    ]
    assert failed and not result.breaches
    story = explain.explain(rows, failed[0])
    assert story.cause is explain.Cause.CRASHED_WORKERS
    crashed = [
        line
        for line in story.lines
        if 'run suspected' in line and failed[0] in line
    ]
    assert len(crashed) >= 2 and all('worker=i-' in line for line in crashed)
    assert 'given_up=True' in crashed[-1]
