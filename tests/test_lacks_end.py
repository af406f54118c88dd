"""A step that only some machines may run gets one that nobody needs.

Callers see a job that is accepted and stays open, while a machine that could
run it is idle elsewhere. The passes of the decision are played with drawn
pools, labels, refusals by the advice, sizes and reservations.

The leader's part is played by `utils_lacks`. A machine is unneeded if it is on
standby or may leave its pool by `min_up`, runs nothing, and no waiting step of
its pool may run on it. What a pool keeps for later, or counts as needed for
work that the machine can't run, is no reason to keep it.
"""

import hypothesis
from hypothesis import strategies

from tests import utils_lacks

WAIT_PASSES = 60
"""30 s: for each machine with the label a move, a question to the advice and
its answer, 5 s; in a fleet of at most six."""

PASSES = 150

EXAMPLES = 300


def _may_run(day, number, name):
    """Return whether a step may run on a machine, if that is idle."""
    step = day.plan.steps[number]
    machine = utils_lacks.machines(day)[name]
    return (
        step.label in machine.labels
        and step.memory_mb <= machine.capacity.memory_mb
        and int(name[1:]) not in step.refused
    )


def _waiting(day):
    return [number for number, group in enumerate(day.groups) if group.waiting]


def _is_unneeded(day, name):
    """Return whether a machine may leave its pool, or is on standby."""
    service = utils_lacks.machines(day)[name].pool
    if service == utils_lacks.STANDBY:
        return name not in day.arrivals
    worker = day.workers[name]
    if worker is None or worker.runs:
        return False
    pool = day.services.index(service)
    up = [
        row
        for row in utils_lacks.members(day, service)
        if day.workers[row] is not None
    ]
    return len(up) > day.plan.min_up[pool] and not any(
        _may_run(day, number, name)
        for number in _waiting(day)
        if day.plan.steps[number].pool == pool
    )


def _could_run(day, number):
    """Return whether a machine of its pool, or an unneeded one, would do."""
    step = day.plan.steps[number]
    own = utils_lacks.members(day, day.services[step.pool])
    return any(
        _may_run(day, number, name)
        and (name in own or _is_unneeded(day, name))
        for name in utils_lacks.machines(day)
    )


def _check_bounds(views, decision):
    """Check that no labelled move takes what a pool needs at present."""
    for view in views:
        leaving = [row for row in decision.moves if row.source == view.service]
        if not any(row.why == 'labelled' for row in leaving):
            continue
        up = sum(member.worker is not None for member in view.members)
        assert up - len(leaving) >= view.min_up
        left = len(view.members) - len(leaving)
        assert left >= max(view.min_up, decision.needs[view.service].now)


def _check_use(day, decision):
    """Check that a labelled move brings a machine that is large enough."""
    for move in decision.moves:
        if move.why != 'labelled':
            continue
        machine = utils_lacks.machines(day)[move.machine]
        steps = [day.plan.steps[number] for number in _waiting(day)]
        assert any(
            day.services[step.pool] == move.target
            and step.label in machine.labels
            and step.memory_mb <= machine.capacity.memory_mb
            for step in steps
        ), move


def _check(plan):
    """Play a plan; no step may wait for longer than the bound.

    The bound counts while some machine could be had on end.
    """
    day = utils_lacks.begin(plan)
    waited = dict.fromkeys(range(len(plan.steps)), 0)
    for _ in range(PASSES):
        views, decision = utils_lacks.play_pass(day)
        _check_bounds(views, decision)
        _check_use(day, decision)
        for number in waited:
            waits = number in _waiting(day) and _could_run(day, number)
            waited[number] = waited[number] + 1 if waits else 0
        assert max(waited.values()) <= WAIT_PASSES, waited


LABELS = strategies.sampled_from(('a', 'b'))

SOON_MS = 600.0
"""Work that is due soon counts as too late within the bound, and then no
longer as a need of its pool."""

LATER_MS = 20000.0


def _plans(sizes, has_advice, objective_ms, pools=3):
    """Draw plans.

    :param sizes: memory that a machine may have and a step may need
    """
    machine = strategies.builds(
        utils_lacks.Machine,
        pool=strategies.sampled_from((None, *range(pools))),
        label=LABELS,
        memory_mb=strategies.sampled_from(sizes),
    )
    refused = strategies.frozensets(strategies.integers(0, 5), max_size=4)
    step = strategies.builds(
        utils_lacks.Step,
        pool=strategies.integers(0, pools - 1),
        label=LABELS,
        memory_mb=strategies.sampled_from(sizes),
        tasks=strategies.sampled_from((1, 3)),
        refused=refused if has_advice else strategies.just(frozenset()),
        objective_ms=strategies.just(objective_ms),
    )
    numbers = strategies.integers(0, 3)
    minima = strategies.integers(0, 2)
    return strategies.builds(
        utils_lacks.Plan,
        machines=strategies.lists(machine, min_size=1, max_size=6).map(tuple),
        steps=strategies.lists(step, min_size=1, max_size=4).map(tuple),
        first_sizes=strategies.tuples(*[numbers] * pools),
        min_up=strategies.tuples(*[minima] * pools),
        has_bursts=strategies.booleans(),
        has_advice=strategies.just(has_advice),
    )


EACH_HAS_THE_OTHERS_LABEL = utils_lacks.Plan(
    (utils_lacks.Machine(0, 'a'), utils_lacks.Machine(1, 'b')),
    (
        utils_lacks.Step(0, 'b', objective_ms=LATER_MS),
        utils_lacks.Step(1, 'a', objective_ms=LATER_MS),
    ),
)

SMALL_ONE_IS_KEPT_FOR_A_LARGE_STEP = utils_lacks.Plan(
    (utils_lacks.Machine(0, 'a', 100), utils_lacks.Machine(1, 'a', 1000)),
    (utils_lacks.Step(0, 'a', 1000), utils_lacks.Step(2, 'a', 100)),
    first_sizes=(0, 0, 0),
    min_up=(0, 1, 0),
)
"""The large machine may not leave its pool; the small one is of no use to the
large step, but has its label."""


@hypothesis.settings(max_examples=EXAMPLES)
@hypothesis.given(_plans((100,), False, SOON_MS))
def test_step_gets_an_unneeded_machine_with_its_label(plan):
    _check(plan)


@hypothesis.settings(max_examples=EXAMPLES)
@hypothesis.given(_plans((100,), True, SOON_MS))
def test_step_gets_an_unneeded_machine_that_the_advice_allows(plan):
    _check(plan)


@hypothesis.settings(max_examples=EXAMPLES)
@hypothesis.example(SMALL_ONE_IS_KEPT_FOR_A_LARGE_STEP)
@hypothesis.given(_plans((100, 1000), False, SOON_MS))
def test_step_gets_an_unneeded_machine_that_is_large_enough(plan):
    _check(plan)


@hypothesis.settings(max_examples=EXAMPLES)
@hypothesis.example(EACH_HAS_THE_OTHERS_LABEL)
@hypothesis.given(_plans((100,), False, LATER_MS, pools=2))
def test_pool_keeps_no_machine_for_work_that_it_cannot_run(plan):
    _check(plan)
