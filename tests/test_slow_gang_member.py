"""A gang's member that is done with its part and waits for the others.

What callers see: a job that never ends. Order of events: the members of a gang
run at different speeds; the fastest stands at 99% until the others have come
so far. After 3 s it is taken for stalled and stopped, which breaks the whole
gang; all begin anew, and so on.

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
        run.moved_on_s = moved_on_s[index]
    return workers


def test_member_that_waits_for_others_has_not_stalled():
    first, second = _gang([1.0, 9.5])
    assert stalls.stalled(first, 10.0) == []
    assert stalls.stalled(second, 10.0) == []


def test_gang_that_stands_still_as_a_whole_has_stalled():
    first, _second = _gang([1.0, 2.0])
    assert len(stalls.stalled(first, 10.0)) == 1
