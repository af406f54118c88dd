"""A task that crashes its workers is given up, and takes few of them along.

What users saw: two tasks were started again and again, each time on another
worker of their pool, and each worker was gone some milliseconds later; the
pool's other jobs were begun anew each time. 715 workers in 103 s, over a tenth
of the pool's callers not served.

Order of events: a leader starts the task; its worker answers, and is gone
before its first report; 0.2 s later the list of machines shows it as down; the
leader lets all that ran there wait again, and starts the task elsewhere.
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
