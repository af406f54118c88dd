"""Breadth-first search over all states of a small model."""

import collections


class Breach(AssertionError):
    """A state that breaks an invariant; ``path`` are the steps to it."""

    def __init__(self, reason, path):
        super().__init__(f'{reason}: ' + ', '.join(path))
        self.path = path


def explore(initial, steps, broken, most=3_000_000):
    """Visit every state that can be reached.

    :param initial: states to start from
    :param steps: gives ``(name, state)`` pairs for a state
    :param broken: gives the reason why a state must not be, '' if it may
    :returns: the number of states
    :raises Breach: on the shortest way to a broken state
    """
    before = dict.fromkeys(initial)
    queue = collections.deque(before)
    while queue:
        state = queue.popleft()
        reason = broken(state)
        if reason:
            raise Breach(reason, _path(state, before))
        for name, after in steps(state):
            if after not in before:
                before[after] = (name, state)
                queue.append(after)
        assert len(before) <= most, 'the model is too large'
    return len(before)


def _path(state, before):
    path = []
    while before[state] is not None:
        name, state = before[state]
        path.append(name)
    return path[::-1]
