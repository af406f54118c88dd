"""A job that asks for a label in a queue that needs advice.

What callers saw: such a job stayed open for good. Order of events: advice on
its step is good for some workers, none with the label; a machine with the
label is brought, as none of its pool has it; the step waits for its advice to
run out before it is asked for anew; before that the machine goes again, as it
is idle; and so on, each second. Cause: advice was asked for again only once it
had run out or none of the good workers was there any more.

Evidence (`python -m emulator.lab --first-seed 7240 --seeds 1
--trouble-count 3 --resize-count 4 --log FILE`): `advice got asked=3 good=2`
at 7.086 and each two seconds on, machines m3 and m9 `moved why=labelled` and
`why=idle` by turns until 45.4, and no `run start` of the job.
"""

import pytest

from emulator import day
from emulator import features
from emulator import troubles
from oleanderwood.pools import advised
from tests import utils_jobs as build


@pytest.mark.parametrize('seed', [7240])
def test_job_with_a_label_in_a_queue_with_advice_ends(seed):
    drawn = troubles.draw(seed, 12.0, 3, troubles.LAB_KINDS)
    drawn += troubles.draw(seed, 12.0, 4, troubles.RESIZE_KINDS)
    wanted = features.draw(seed, 2)
    result = day.play(
        day.Plan(
            seed,
            troubles=tuple(drawn),
            features=wanted,
            finish_s=features.finish_s(wanted, day.FINISH_S),
        )
    )
    assert not result.unfinished and not result.breaches


def _group(label, asked, tickets):
    ledger = build.ledger_with(build.job(build.step(label=label)))
    group = build.task(ledger).group
    group.asked = frozenset(asked)
    group.tickets = dict.fromkeys(tickets, 't')
    return group


def test_advice_is_asked_for_again_once_a_worker_with_the_label_came():
    plain, labelled = build.worker('w1'), build.worker('w2', labels=('b',))
    group = _group('b', ['w1'], ['w1'])
    pool = [plain, labelled]
    assert not advised.has_new_matching_worker(group, [plain], build.POOL)
    assert advised.has_new_matching_worker(group, pool, build.POOL)
    assert not advised.has_new_matching_worker(group, pool, 'another')


def test_advice_is_not_asked_for_again_without_need():
    plain, labelled = build.worker('w1'), build.worker('w2', labels=('b',))
    other = build.worker('w3', labels=('b',))
    for group in (
        _group('b', ['w1', 'w2'], ['w1']),
        _group('b', ['w1', 'w2'], ['w2']),
        _group('', ['w1'], ['w1']),
    ):
        pool = [plain, labelled]
        assert not advised.has_new_matching_worker(group, pool, build.POOL)
    good = _group('b', ['w2'], ['w2'])
    assert not advised.has_new_matching_worker(
        good, [labelled, other], build.POOL
    )


def test_advice_that_named_no_worker_is_asked_about_one_that_came():
    """It could leave as idle after 1 s, and advice is asked each 2 s."""
    group = _group('b', ['w1'], [])
    refused = build.worker('w1', labels=('b',))
    assert not advised.has_new_matching_worker(group, [refused], build.POOL)
    pool = [refused, build.worker('w2', labels=('b',))]
    assert advised.has_new_matching_worker(group, pool, build.POOL)
    group.tickets = None
    assert not advised.has_new_matching_worker(group, pool, build.POOL)
