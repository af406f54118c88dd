"""A task that crashes its workers is given up, and takes few of them along.

What users saw: two tasks were started again and again, each time on another
worker of their pool, and each worker was gone some milliseconds later; the
pool's other jobs were begun anew each time. 715 workers in 103 s, over a tenth
of the pool's callers not served.

Order of events: a leader starts the task; its worker answers, and is gone
before its first report; 0.2 s later the list of machines shows it as down; the
leader lets all that ran there wait again, and starts the task elsewhere.

Cause: a run that was over with its worker left nothing behind. Only ends that
a worker lists as failed were counted, and a worker that crashes lists none; so
such a task had as many starts as the pool had workers, again each time that
they were back.

Evidence: the ages of lost runs in the log, 6 to 8 ms for this task each time
and the same task each time (a crash for another reason takes runs of any age,
and others each time), with counts up to 58 in one term (so no change of leader
forgot them).
"""

from emulator import crashing
from emulator import evidence as evidences
from tests import utils_crashes as build


def test_task_that_crashes_its_workers_is_given_up():
    result = build.play([build.crashing_step(crashing.crash())])
    assert not result.breaches
    assert not result.unfinished
    assert build.shown(result) == {'failed'}
    assert build.count(result, evidences.Kind.CRASHED) <= 3
