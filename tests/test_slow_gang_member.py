"""A gang member that has finished its part waits for the others.

Guards against a job that never ends: the members of a gang run at different
speeds, and the fastest one waits at 99% for the others. After 3 s it counted
as stalled and was stopped, which ended the whole gang; all members started
again, and so on.

Log (lab seed 41143 with `--feature-count 4 --trouble-count 7`): `run stalled
task=620c14cc42e8b77f.0.0.5 percent=99.0`, then `broken` for the five others,
attempts 6003, 6004 and so on, until the end of the day.
"""

from oleanderwood.pools import stalls
from tests import utils_jobs as build


def _gang(moved_on_s):
    ledger = build.ledger_with(build.job(build.step(2, gang=True)))
    workers = [build.worker('w1'), build.worker('w2')]
    for index, worker in enumerate(workers):
        run = build.start(ledger, build.task(ledger, 0, index), worker)
        run.last_progress_s = moved_on_s[index]
    return workers


def test_member_that_waits_for_others_has_not_stalled():
    first, second = _gang([1.0, 9.5])
    assert stalls.stalled_tasks(first, 10.0) == []
    assert stalls.stalled_tasks(second, 10.0) == []


def test_gang_without_any_progress_has_stalled():
    first, _second = _gang([1.0, 2.0])
    assert len(stalls.stalled_tasks(first, 10.0)) == 1
