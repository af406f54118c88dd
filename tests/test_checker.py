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
    'd' * 16: {'phases': [{'count': 2, 'gang': True}]},
    'e' * 16: {
        'phases': [
            {'count': 3, 'cpu': 3000, 'mem_mb': 100, 'max_per_server': 2},
            {'count': 2, 'cpu': 1000, 'mem_mb': 900, 'required_label': 'b'},
        ],
        'service': 'drafts',
    },
    '9' * 16: {
        'phases': [{'count': 1}],
        'service': 'drafts',
        'later_services': ['finals'],
    },
    'f' * 16: {
        'phases': [{'count': 1}, {'count': 1, 'after': [0]}],
        'repeat_count': 2,
        'start_time_ms': 1_700_000_005_000,
        'interval_ms': 10_000,
    },
}
LASTING = ['b' * 16 + f'.0.0.{index}' for index in range(2)]

GANG = ['d' * 16 + f'.0.0.{index}' for index in range(2)]
LARGE = 'e' * 16 + '.0.0.'
LABELLED = 'e' * 16 + '.0.1.'
FIRST, SECOND = ('f' * 16 + f'.{occurrence}.0.0' for occurrence in range(2))
MOVED = '9' * 16 + '.0.0.0'
PLACES = {
    'w1': evidences.Place('drafts', ('a', 'r1'), 8000, 1500, False),
    'w2': evidences.Place('finals', ('b', 'r2'), 8000, 1500, False),
    'w3': evidences.Place('drafts', ('b', 'r1'), 8000, 1500, True),
    'w4': evidences.Place('others', ('b', 'r1'), 8000, 1500, False),
}

HANDED_IN = [
    (0.0, Kind.HANDED_IN, {'job': job, 'how': how})
    for job in JOBS
    if job != 'c' * 16
    for how in ('sent', '200')
]


def _check(*rows, troubled=()):
    evidence = evidences.Evidence(places=PLACES)
    for at_s, kind, fields in [*HANDED_IN, *rows]:
        fields = {**fields}
        if 'task' in fields:
            fields.setdefault('job', fields['task'].partition('.')[0])
        evidences.note(evidence, at_s, kind, **fields)
    return checker.check(evidence, JOBS, 2, {1: 1}, 2.0, troubled)


def _start(at_s, place, task=TASK, attempt=1, saved='', how=''):
    fields = {
        'task': task,
        'attempt': attempt,
        'place': place,
        'saved': saved,
        'how': how,
    }
    return at_s, Kind.STARTED, fields


def _end(at_s, place, how='done', task=TASK, attempt=1):
    fields = {'task': task, 'attempt': attempt, 'place': place, 'how': how}
    return at_s, Kind.ENDED, fields


def _noted(at_s, place, how='done', attempt=1, task=TASK):
    fields = {'task': task, 'attempt': attempt, 'place': place, 'how': how}
    return at_s, Kind.NOTED, fields


def _harmed(at_s, kind=Kind.HARMED):
    return at_s, kind, {'task': LASTING[0], 'place': 'w1'}


def _saved(at_s, saved, task=TASK):
    return at_s, Kind.SAVED, {'task': task, 'saved': saved}


def _shown(at_s, how, job=JOB):
    return at_s, Kind.SHOWN, {'job': job, 'how': how}


def _ordered(at_s, by, term):
    return at_s, Kind.ORDERED, {'place': 'm1', 'by': by, 'attempt': term}


BREACHES = {
    'two runs at once': ('TWICE', [_start(1, 'w1'), _start(2, 'w2')]),
    'two runs at once by a late order': (
        'TWICE',
        [_start(1, 'w1'), _start(2, 'w2', how='late')],
    ),
    'a late order of a job that nobody sent': (
        'UNASKED',
        [_start(1, 'w1', task='c' * 16 + '.0.0.0', how='late')],
    ),
    'a run after a noted end': (
        'TWICE',
        [
            _start(1, 'w1'),
            _end(2, 'w1'),
            _noted(2, 'w1'),
            _start(3, 'w1', attempt=2),
        ],
    ),
    'a run after an end that is noted later': (
        'TWICE',
        [
            _start(1, 'w1'),
            _end(2, 'w1'),
            _start(3, 'w2', attempt=2),
            _noted(4, 'w1'),
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
    'a gang that waits in vain': (
        'GANG',
        [_start(1, 'w1', task=GANG[0]), _end(4, 'w1', 'alone', GANG[0])],
    ),
    'a member again after the end of another': (
        'TWICE',
        [
            _start(1, 'w1', task=GANG[0]),
            _start(1, 'w2', task=GANG[1]),
            _end(2, 'w1', task=GANG[0]),
            _noted(2, 'w1', task=GANG[0]),
            (3.0, Kind.DIED, {'place': 'w2', 'how': 'crash'}),
            _start(4, 'w1', task=GANG[1], attempt=2),
        ],
    ),
    'a gang that has failed too often': (
        'BUDGET',
        [
            _noted(1, 'w1', 'failed', 1, GANG[0]),
            _noted(2, 'w2', 'failed', 2, GANG[1]),
            _start(3, 'w1', task=GANG[0], attempt=3),
        ],
    ),
    'a gang that failed once, in two members': (
        'LOST',
        [
            _end(1, 'w1', 'failed', GANG[0]),
            _end(1, 'w2', 'failed', GANG[1]),
            _shown(2, 'failed', 'd' * 16),
        ],
    ),
    'a gang that goes on from two places': (
        'UNASKED',
        [
            _saved(1, 'x', GANG[0]),
            _saved(1, 'y', GANG[1]),
            _start(2, 'w1', task=GANG[0], attempt=2, saved='x'),
            _start(2, 'w2', task=GANG[1], attempt=2, saved='y'),
        ],
    ),
    'work that another task saved': (
        'UNASKED',
        [_saved(1, 'x', f'{JOB}.0.1.0'), _start(2, 'w1', saved='x')],
    ),
    'a worker of another pool': (
        'ROUTE',
        [_start(1, 'w2', task=LARGE + '0')],
    ),
    'a worker of a pool that the queue never had': (
        'ROUTE',
        [_start(1, 'w4', task=MOVED)],
    ),
    'a worker without the label': (
        'ROUTE',
        [_start(1, 'w1', task=LABELLED + '0')],
    ),
    'too many of a step on a worker': (
        'ROUTE',
        [_start(1, 'w3', task=LARGE + number) for number in '012'],
    ),
    'more cores than there are': (
        'LIMIT',
        [_start(1, 'w1', task=LARGE + number) for number in '012'],
    ),
    'more memory than there is': (
        'LIMIT',
        [_start(1, 'w2', task=LABELLED + number) for number in '01'],
    ),
    'a repetition before its time': (
        'ORDER',
        [_start(5.1, 'w1', task=FIRST), _start(14.7, 'w1', task=SECOND)],
    ),
    'a step that only an earlier repetition may begin': (
        'ORDER',
        [
            _start(15.1, 'w1', task=FIRST),
            _end(15.9, 'w1', task=FIRST),
            _start(16.0, 'w1', task='f' * 16 + '.1.1.0'),
        ],
    ),
    'a serving task over its target for long': (
        'HARM',
        [_harmed(1.0), _harmed(5.1, Kind.EASED)],
    ),
    'a serving task over its target to the end': (
        'HARM',
        [_harmed(1.0), _start(5.1, 'w1')],
    ),
    'completed without its last repetition': (
        'MIXED',
        [
            *(_end(1, 'w1', task=f'{"f" * 16}.0.{step}.0') for step in (0, 1)),
            _shown(2, 'completed', 'f' * 16),
        ],
    ),
}


@pytest.mark.parametrize('name', BREACHES)
def test_forged_breach_is_found(name):
    rule, rows = BREACHES[name]
    found = _check(*rows)
    assert any(line.startswith(rule) for line in found), found


def test_end_that_is_noted_after_its_lease_ran_out_does_not_count():
    lapsed = (2.5, Kind.LAPSED, {'place': 'w1'})
    rows = [_start(1, 'w1'), _end(2, 'w1'), lapsed, _start(3, 'w2')]
    assert not _check(*rows, _noted(4, 'w1'))
    # A lease that ran out before the run ended makes no difference.
    earlier = (1.5, Kind.LAPSED, {'place': 'w1'})
    rows = [_start(1, 'w1'), earlier, _end(2, 'w1'), _start(3, 'w2')]
    assert _check(*rows, _noted(4, 'w1'))


def test_cancel_in_doubt_is_a_cause_and_one_that_was_refused_is_none():
    shown = _shown(2, 'cancelled')
    doubt = (1.0, Kind.CANCEL_IN_DOUBT, {'job': JOB, 'how': '0'})
    assert not _check(doubt, shown)
    assert _check(shown)
    # It isn't held against what runs on: it may not have been done.
    assert not _check(doubt, _start(9, 'w1'))


def test_refused_job_that_runs_is_found():
    evidence = evidences.Evidence()
    for kind, how in ((Kind.HANDED_IN, 'sent'), (Kind.HANDED_IN, '503')):
        evidences.note(evidence, 0.0, kind, job=JOB, how=how)
    evidences.note(evidence, 1.0, Kind.STARTED, job=JOB, task=TASK, place='w1')
    found = checker.check(evidence, JOBS, 2, {}, 2.0)
    assert any(line.startswith('REFUSED') for line in found)


def test_bounds_in_time_are_not_for_orders_that_were_carried_out_late():
    assert not _check(
        (1.0, Kind.CANCELLED, {'job': JOB, 'how': '200'}),
        (1.0, Kind.DRAINING, {'place': 'w1'}),
        _start(9, 'w1', how='late'),
    )


def _drained_while_deaf(start_s):
    """A worker leaves at 1 s while servers hear nothing from 0.5 to 4 s."""
    return (
        (0.5, Kind.DEAF, {'how': 'begin'}),
        (1.0, Kind.DRAINING, {'place': 'w1'}),
        *([_start(start_s, 'w1')] if start_s < 4.0 else []),
        (4.0, Kind.DEAF, {'how': 'end'}),
        *([_start(start_s, 'w1')] if start_s >= 4.0 else []),
    )


@pytest.mark.parametrize('start_s', [3.5, 4.5, 6.9])
def test_start_on_a_leaving_worker_while_servers_are_not_in_touch(start_s):
    """By the platform's rule, a server is in touch 3 s after a disruption."""
    assert not _check(*_drained_while_deaf(start_s))


def test_start_on_a_leaving_worker_once_servers_are_in_touch():
    assert _check(*_drained_while_deaf(7.1))
    noticed = (1.0, Kind.DRAINING, {'place': 'w1'})
    assert _check(noticed, _start(3.1, 'w1'))


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


def test_lone_gang_beside_a_trouble_or_a_cancel_is_no_breach():
    rows = [_start(1, 'w1', task=GANG[0]), _end(4, 'w1', 'alone', GANG[0])]
    cancelled = (0.9, Kind.CANCELLED, {'job': 'd' * 16, 'how': '200'})
    assert _check(*rows)
    assert not _check(*rows, troubled=[(0.0, 1.5)])
    assert not _check(cancelled, *rows)


def test_short_harm_and_harm_beside_a_trouble_is_no_breach():
    assert not _check(
        _harmed(1.0),
        _harmed(4.0, Kind.EASED),
        _harmed(4.5),
        _harmed(8.0, Kind.EASED),
        _harmed(9.0),
        (10.0, Kind.DIED, {'place': 'w1', 'how': 'crash'}),
        _start(20.0, 'w3'),
    )
    rows = [_harmed(11.0), _harmed(16.0, Kind.EASED)]
    assert _check(*rows)
    assert not _check(*rows, troubled=[(1.0, 8.5)])
    assert not _check(*rows, troubled=[(15.5, 30.0)])


def test_sound_evidence_of_what_few_ask_for_has_no_breach():
    assert not _check(
        _start(1, 'w1', task=GANG[0]),
        _start(1, 'w2', task=GANG[1]),
        _saved(1.5, 'x', GANG[0]),
        _end(2, 'w1', 'failed', GANG[0]),
        _end(2, 'w2', 'broken', GANG[1]),
        _noted(2, 'w1', 'failed', 1, GANG[0]),
        _start(3, 'w2', task=GANG[0], attempt=2, saved='x'),
        _start(3, 'w1', task=GANG[1], attempt=2, saved='x'),
        _end(4, 'w2', 'failed', GANG[0], 2),
        _end(4, 'w1', 'broken', GANG[1], 2),
        _shown(5, 'failed', 'd' * 16),
        _start(4.8, 'w1', task=FIRST),
        _start(5, 'w2', task=MOVED),
        _start(6, 'w3', task=LARGE + '0'),
        _start(6, 'w3', task=LARGE + '1'),
        _start(7, 'w3', task=LABELLED + '0'),
        _end(7, 'w3', 'stopped', LARGE + '0'),
        _start(8, 'w3', task=LARGE + '2'),
        _start(8, 'w1', task=LARGE + '0', attempt=2),
        _end(8, 'w1', 'stopped', FIRST),
        _end(8, 'w3', 'stopped', LARGE + '1'),
        _start(9, 'w1', task=LARGE + '1', attempt=2),
    )


def _crashes(count):
    """Let a task crash as many workers, each as it starts there."""
    rows = []
    for number in range(count):
        place = f'x{number}'
        rows += [
            _start(number + 1, place, attempt=number + 1),
            (number + 1.1, Kind.CRASHED, {'task': TASK, 'place': place}),
            (number + 1.1, Kind.DIED, {'place': place, 'how': 'crash'}),
        ]
    return rows


def test_third_start_after_three_crashes_is_found():
    assert not _check(*_crashes(5))
    assert _check(*_crashes(6)) == [
        f'BUDGET at 6.00: {TASK} has crashed 5 executors'
    ]
    late = _start(9, 'w1', attempt=9, how='late')
    assert not _check(*_crashes(5), late)
    rows = _crashes(6)
    deaf = [(5.5, Kind.DEAF, {'how': how}) for how in ('begin', 'end')]
    assert not _check(*rows[:15], *deaf, *rows[15:])
    assert _check(*rows, *deaf, _start(9, 'w1', attempt=9))


def test_job_may_be_failed_once_a_task_of_it_has_crashed_two_workers():
    assert _check(*_crashes(1), _shown(9, 'failed'))
    assert not _check(*_crashes(2), _shown(9, 'failed'))
    # Not before that, and not for a task that was merely there.
    assert _check(*_crashes(1), _shown(1.5, 'failed'), *_crashes(2)[3:])
    beside = f'{LARGE}0'
    rows = [_start(number + 0.5, f'x{number}', beside) for number in (0, 1)]
    rows = sorted([*rows, *_crashes(2)], key=lambda row: row[0])
    assert _check(*rows, _shown(9, 'failed', 'e' * 16))
