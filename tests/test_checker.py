"""The checker of emulated days and soaks, given forged evidence."""

import pytest

from emulator import checker
from emulator import evidence as evidences

Kind = evidences.Kind
JOB = 'a' * 16
TASK = f'{JOB}.0.0.0'
JOBS = {
    JOB: {'phases': [{'count': 1}, {'count': 1, 'after': [0]}]},
    'b' * 16: {'phases': [{'count': 2, 'long_running': True, 'may_miss': 1}]},
    # Nobody hands this one in.
    'c' * 16: {'phases': [{'count': 1}]},
}
LASTING = ['b' * 16 + f'.0.0.{index}' for index in range(2)]

HANDED_IN = [
    (0.0, Kind.HANDED_IN, {'job': job, 'how': how})
    for job in list(JOBS)[:2]
    for how in ('sent', '200')
]


def _check(*rows):
    evidence = evidences.Evidence()
    for at_s, kind, fields in [*HANDED_IN, *rows]:
        fields = {**fields}
        if 'task' in fields:
            fields.setdefault('job', fields['task'].partition('.')[0])
        evidences.note(evidence, at_s, kind, **fields)
    return checker.check(evidence, JOBS, 2, {1: 1}, 2.0)


def _start(at_s, place, task=TASK, attempt=1):
    fields = {'task': task, 'attempt': attempt, 'place': place}
    return at_s, Kind.STARTED, fields


def _end(at_s, place, how='done', task=TASK, attempt=1):
    fields = {'task': task, 'attempt': attempt, 'place': place, 'how': how}
    return at_s, Kind.ENDED, fields


def _noted(at_s, place, how='done', attempt=1):
    fields = {'task': TASK, 'attempt': attempt, 'place': place, 'how': how}
    return at_s, Kind.NOTED, fields


def _shown(at_s, how):
    return at_s, Kind.SHOWN, {'job': JOB, 'how': how}


def _ordered(at_s, by, term):
    return at_s, Kind.ORDERED, {'place': 'm1', 'by': by, 'attempt': term}


BREACHES = {
    'two runs at once': ('TWICE', [_start(1, 'w1'), _start(2, 'w2')]),
    'a run after a noted end': (
        'TWICE',
        [
            _start(1, 'w1'),
            _end(2, 'w1'),
            _noted(2, 'w1'),
            _start(3, 'w1', attempt=2),
        ],
    ),
    'a step before its turn': (
        'ORDER',
        [_start(1, 'w1', task=f'{JOB}.0.1.0')],
    ),
    'an attempt too many': (
        'BUDGET',
        [
            _noted(1, 'w1', 'failed', 1),
            _noted(2, 'w1', 'failed', 2),
            _start(3, 'w1', attempt=3),
        ],
    ),
    'completed too early': ('MIXED', [_shown(1, 'completed')]),
    'failed without cause': ('LOST', [_shown(1, 'failed')]),
    'cancelled without cause': ('LOST', [_shown(1, 'cancelled')]),
    'forgotten': ('LOST', [_shown(1, '410')]),
    'a job that nobody sent': (
        'UNASKED',
        [_start(1, 'w1', task='c' * 16 + '.0.0.0')],
    ),
    'a start long after a cancel': (
        'UNASKED',
        [
            (1.0, Kind.CANCELLED, {'job': JOB, 'how': '200'}),
            _start(9, 'w1'),
        ],
    ),
    'a start on a leaving worker': (
        'DRAIN',
        [(1.0, Kind.DRAINING, {'place': 'w1'}), _start(9, 'w1')],
    ),
    'a start on a worker whose entry is spoiled': (
        'SPOILED',
        [(1.0, Kind.SPOILED, {'place': 'w1'}), _start(9, 'w1')],
    ),
    'too many machines down': (
        'LIMIT',
        [
            (1.0, Kind.MAINTAINED, {'place': 'm1', 'attempt': 1}),
            (2.0, Kind.MAINTAINED, {'place': 'm2', 'attempt': 1}),
        ],
    ),
    'two leaders in quick succession': (
        'ONE',
        [_ordered(1, 's1', 1), _ordered(2, 's2', 2)],
    ),
    'an older leader after a newer': (
        'ONE',
        [_ordered(1, 's2', 2), _ordered(9, 's1', 1)],
    ),
    'serving tasks ended together': (
        'AVAIL',
        [
            _start(1, 'w1', task=LASTING[0]),
            _start(1, 'w1', task=LASTING[1]),
            (5.0, Kind.DIED, {'place': 'w1', 'how': 'order'}),
        ],
    ),
}


@pytest.mark.parametrize('name', BREACHES)
def test_forged_breach_is_found(name):
    rule, rows = BREACHES[name]
    found = _check(*rows)
    assert any(line.startswith(rule) for line in found), found


def test_refused_job_that_runs_is_found():
    evidence = evidences.Evidence()
    for kind, how in ((Kind.HANDED_IN, 'sent'), (Kind.HANDED_IN, '503')):
        evidences.note(evidence, 0.0, kind, job=JOB, how=how)
    evidences.note(evidence, 1.0, Kind.STARTED, job=JOB, task=TASK, place='w1')
    found = checker.check(evidence, JOBS, 2, {}, 2.0)
    assert any(line.startswith('REFUSED') for line in found)


def test_sound_evidence_has_no_breach():
    assert not _check(
        _start(1, 'w1'),
        _end(2, 'w1'),
        _noted(2, 'w1'),
        _start(3, 'w1', task=f'{JOB}.0.1.0'),
        _end(4, 'w1', task=f'{JOB}.0.1.0'),
        _shown(5, 'completed'),
        _start(6, 'w2', task=LASTING[0]),
        _start(6, 'w3', task=LASTING[1]),
        (9.0, Kind.DIED, {'place': 'w2', 'how': 'order'}),
        (10.0, Kind.SPOILED, {'place': 'w4'}),
        _start(11, 'w4', task=LASTING[0], attempt=2),
        (12.0, Kind.MENDED, {'place': 'w4'}),
        (13.0, Kind.SPOILED, {'place': 'w5'}),
        (15.0, Kind.DEAF, {'how': 'begin'}),
        (17.0, Kind.DEAF, {'how': 'end'}),
        _end(17, 'w3', 'failed', task=LASTING[1]),
        _start(17.5, 'w5', task=LASTING[1], attempt=2),
        _end(18, 'w4', 'failed', task=LASTING[0], attempt=2),
        _start(19, 'w4', task=LASTING[0], attempt=3),
        _ordered(9, 's1', 1),
        _ordered(20, 's2', 2),
    )
