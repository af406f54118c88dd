"""Stateful tests of rollout: racing operators, lost acks, lost answers."""

import dataclasses
import itertools

import hypothesis
import hypothesis.stateful as stateful
import hypothesis.strategies as st
import pytest

from oleanderwood import rollout
from tests import utils_rollout as model

SETTINGS = hypothesis.settings(
    derandomize=True,
    deadline=None,
    max_examples=150,
    stateful_step_count=40,
    suppress_health_check=list(hypothesis.HealthCheck),
)


class RolloutMachine(stateful.RuleBasedStateMachine):
    """Two operators at a time, up to four members, any order."""

    def __init__(self):
        super().__init__()
        self.world = model.World()
        self.counter = itertools.count(1)
        for number in (1, 2):
            model.join(self.world, number, next(self.counter))

    def _running(self):
        return [o for o in self.world.operators if o.end is None]

    def _choices(self):
        return [(o, a) for o in self._running() for a in o.pending]

    def _is_running(self):
        return bool(self._running())

    @stateful.initialize()
    def begin_two(self):
        model.begin(self.world, 'op-a')
        model.begin(self.world, 'op-b')

    @stateful.precondition(lambda self: len(self._running()) < 2)
    @stateful.rule(behind=st.integers(0, 2))
    def begin(self, behind):
        base = max(0, self.world.head.revision - behind)
        model.begin(self.world, f'op-{next(self.counter)}', base)

    @stateful.precondition(_is_running)
    @stateful.rule(
        steps=st.lists(
            st.tuples(st.integers(0, 9), st.sampled_from((0, 0, 0, 1))),
            min_size=4,
            max_size=12,
        )
    )
    def carry_out(self, steps):
        """Carry out some actions; the answers to a few are lost."""
        for number, lost in steps:
            self._carry_out(number, bool(lost))

    def _carry_out(self, number, lost):
        choices = self._choices()
        if choices:
            operator, action = choices[number % len(choices)]
            operator.pending.remove(action)
            model.carry_out(self.world, operator, action, lost)

    @stateful.precondition(_is_running)
    @stateful.rule(number=st.integers(0, 1))
    def time_out(self, number):
        running = self._running()
        model.tell(running[number % len(running)], rollout.TimedOut())

    @stateful.rule(number=st.integers(1, 4))
    def join(self, number):
        model.join(self.world, number, next(self.counter))

    @stateful.rule(data=st.data(), proven=st.booleans())
    def die(self, data, proven):
        """Let a member die; its row may stay until it is proven gone."""
        if self.world.entries:
            known = list(self.world.entries)
            member = data.draw(st.sampled_from(known))
            if proven:
                model.leave(self.world, member)
            else:
                del self.world.entries[member]

    @stateful.rule(data=st.data())
    def prove_gone(self, data):
        dead = [m for m in self.world.roster if m not in self.world.entries]
        if dead:
            self.world.gone.add(data.draw(st.sampled_from(dead)))

    @stateful.invariant()
    def nothing_accepted_before_all_were_ready(self):
        assert not self.world.unready

    @stateful.invariant()
    def revisions_are_those_accepted(self):
        assert self.world.head.revision == len(self.world.accepted)

    @stateful.invariant()
    def operators_are_told_the_truth(self):
        for operator in self.world.operators:
            ran = operator.state.staged.operation in self.world.accepted
            if operator.dropped:
                assert not ran
            if operator.end is None:
                continue
            if operator.end.outcome is rollout.Outcome.ACCEPTED:
                assert ran
            elif operator.end.outcome is not rollout.Outcome.MAY_HAVE_RUN:
                assert not ran

    @stateful.invariant()
    def in_force_where_it_is_said_to_be(self):
        for operator in self.world.operators:
            end = operator.end
            if end is None or end.outcome is not rollout.Outcome.ACCEPTED:
                continue
            if end.reason:
                continue
            revision = operator.state.staged.revision
            for member, entry in self.world.entries.items():
                told = member not in end.missing
                assert not told or entry.in_force >= revision


def _run(**changes):
    settings = hypothesis.settings(SETTINGS, **changes)
    stateful.run_state_machine_as_test(RolloutMachine, settings=settings)


def test_rollout_holds():
    _run()


def _swap_early(monkeypatch):
    """Swap as soon as one member acknowledged."""

    def answered(state, member):
        after = dataclasses.replace(state, phase=rollout.Phase.SWAPPING)
        return after, (rollout.Swap(),)

    monkeypatch.setattr(rollout, '_answered', answered)


def _base_unchecked(monkeypatch):
    def start(staged, seen):
        return rollout.Rollout(staged), (rollout.ReadRoster(),)

    monkeypatch.setattr(rollout, 'start', start)


def _lost_answer_is_not_run(monkeypatch):
    swapped = rollout._swapped

    def lost(state, event):
        if event.outcome is rollout.Outcome.MAY_HAVE_RUN:
            event = rollout.Swapped(rollout.Outcome.NOT_RUN)
        return swapped(state, event)

    monkeypatch.setattr(rollout, '_swapped', lost)


def _roster_not_read_after(monkeypatch):
    """Take the members that were asked for all there are."""
    swapped = rollout._swapped

    def unread(state, event):
        after, actions = swapped(state, event)
        return dataclasses.replace(after, roster_due=False), actions[1:]

    monkeypatch.setattr(rollout, '_swapped', unread)


def _timeout_counts_as_consent(monkeypatch):
    def give_up(state, reason):
        after = dataclasses.replace(state, phase=rollout.Phase.SWAPPING)
        return after, (rollout.Swap(),)

    monkeypatch.setattr(rollout, '_give_up', give_up)


def _any_commit_reply_is_in_force(monkeypatch):
    def accepted(state):
        return rollout._end(state, rollout.End(rollout.Outcome.ACCEPTED))

    monkeypatch.setattr(rollout, '_accepted', accepted)


DEFECTS = (
    _swap_early,
    _base_unchecked,
    _lost_answer_is_not_run,
    _roster_not_read_after,
    _timeout_counts_as_consent,
    _any_commit_reply_is_in_force,
)


@pytest.mark.parametrize('plant', DEFECTS)
def test_planted_defect_is_caught(monkeypatch, plant):
    plant(monkeypatch)
    with pytest.raises(AssertionError):
        _run(max_examples=2000, phases=(hypothesis.Phase.generate,))
