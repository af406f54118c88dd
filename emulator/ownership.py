"""All orders of steps around one task: ``python -m emulator.ownership``.

A small model of who may start a task, apart from the product's code: two
leaders, two workers, one job of one task, a store with conditions, and
orders that are carried out at any time, or never. Each state that steps in
any order lead to is visited; in none may both workers run the task.

Time is one step: once it has aged, the former leader doesn't act any more,
its orders are refused as late, and its leases have run out at workers that
haven't answered the next leader.
"""

import collections
import collections.abc
import dataclasses
import sys
import typing

FORMER, NEXT = 1, 2
"""Terms of the two leaders."""

WORKERS = (0, 1)

MOST_STARTS = 2
"""Starts that a leader orders at most."""

NEXT_BASE = 10
"""Base of the next leader's attempts at a job that may have been started."""


@dataclasses.dataclass(frozen=True)
class Protocol:
    """What of the protocol is in force.

    :ivar stamped: jobs carry the term under which they were accepted
    :ivar conditional: a job is written only if that term is still the last
    :ivar waits: the next leader starts a job that may have been started only
        once all workers have answered it, or time has aged
    :ivar fenced: workers refuse orders of earlier terms
    """

    stamped: bool = True
    conditional: bool = True
    waits: bool = True
    fenced: bool = True


class Run(typing.NamedTuple):
    """A run as its leader knows it."""

    worker: int
    attempt: int
    stopping: bool = False


class Leader(typing.NamedTuple):
    """What one leader knows.

    :ivar leads: it was elected; :ivar has_read: it knows what lay in the
        store when it was
    :ivar job: '', ``new`` or ``old``: one that may have been started before
    :ivar answered: workers that have answered it
    :ivar starts: starts that it has ordered
    """

    leads: bool = False
    has_read: bool = False
    job: str = ''
    answered: frozenset[int] = frozenset()
    run: Run | None = None
    starts: int = 0


class Worker(typing.NamedTuple):
    """What one worker holds.

    :ivar attempt: of what runs there; 0: nothing
    :ivar over: highest attempt that was stopped there
    """

    fence: int = FORMER
    attempt: int = 0
    stopping: bool = False
    over: int = 0


class Message(typing.NamedTuple):
    """An order to a worker, or a worker's answer, on its way."""

    kind: str
    worker: int
    term: int
    attempt: int = 0


class State(typing.NamedTuple):
    """All of it.

    :ivar stamp: term of the job in the store; 0: it isn't there yet
    :ivar told_term: who leads, as far as the server knows that takes the job
    """

    term: int = FORMER
    stamp: int = 0
    told_term: int = FORMER
    aged: bool = False
    leaders: tuple[Leader, Leader] = (
        Leader(True, True, '', frozenset(WORKERS)),
        Leader(),
    )
    workers: tuple[Worker, Worker] = (Worker(), Worker())
    messages: frozenset[Message] = frozenset()


Steps = collections.abc.Iterator[tuple[str, State]]


@dataclasses.dataclass(frozen=True)
class Outcome:
    """What an exploration came to.

    :ivar breach: the fewest steps to a breach; () if none lead there
    """

    states: int
    breach: tuple[str, ...]


def run_twice(state: State) -> bool:
    """Say whether both workers run the task."""
    return all(worker.attempt for worker in state.workers)


def explore(
    protocol: Protocol,
    wrong: collections.abc.Callable[[State], bool] = run_twice,
) -> Outcome:
    """Visit all states, or those until the first breach.

    :param wrong: says whether a state is a breach
    """
    first = State()
    came_from: dict[State, tuple[str, State | None]] = {first: ('', None)}
    waiting = collections.deque([first])
    while waiting:
        state = waiting.popleft()
        if wrong(state):
            return Outcome(len(came_from), _way(came_from, state))
        for name, step in steps(protocol, state):
            after = _without_idle_messages(protocol, step)
            if after not in came_from:
                came_from[after] = (name, state)
                waiting.append(after)
    return Outcome(len(came_from), ())


def _without_idle_messages(protocol: Protocol, state: State) -> State:
    """Drop messages that can't change anything any more.

    These are orders that the worker's fence refuses, and what tells a leader
    once more that a worker has answered.
    """
    left = frozenset(
        row for row in state.messages if not _is_idle(protocol, state, row)
    )
    return state._replace(messages=left)


def _is_idle(protocol: Protocol, state: State, message: Message) -> bool:
    if message.kind in ('ask', 'report'):
        return message.worker in state.leaders[message.term - 1].answered
    if message.kind in ('refused', 'over'):
        run = state.leaders[message.term - 1].run
        return run is None or run[:2] != (message.worker, message.attempt)
    return (
        protocol.fenced and message.term < state.workers[message.worker].fence
    )


def _way(came_from, state: State) -> tuple[str, ...]:
    names = []
    while state is not None:
        name, state = came_from[state]
        names.append(name)
    return tuple(reversed(names[:-1]))


def steps(protocol: Protocol, state: State) -> Steps:
    """Give all that may happen next."""
    yield from _at_store(protocol, state)
    for term in (FORMER, NEXT):
        leader = state.leaders[term - 1]
        if leader.has_read and not (term == FORMER and state.aged):
            yield from _at_leader(protocol, state, term, leader)
    for message in state.messages:
        rest = state._replace(messages=state.messages - {message})
        after = _HANDLERS[message.kind](protocol, rest, message)
        yield f'{message.kind} {message[1:]}', after
    for number, worker in enumerate(state.workers):
        if worker.stopping:
            yield f'worker {number} has stopped', _halt(state, number, worker)


def _at_store(protocol: Protocol, state: State) -> Steps:
    if state.term == FORMER:
        elected = Leader(leads=True)
        after = _with_leader(state, NEXT, elected)._replace(term=NEXT)
        yield 'the next leader is elected', after
    following = state.leaders[NEXT - 1]
    if following.leads and not following.has_read:
        job = 'old' if state.stamp else ''
        after = following._replace(has_read=True, job=job)
        yield 'the next leader reads', _with_leader(state, NEXT, after)
    if state.told_term < state.term:
        yield 'the server hears', state._replace(told_term=state.term)
    if not state.stamp:
        if state.told_term == state.term or not protocol.conditional:
            yield 'the job is written', state._replace(stamp=state.told_term)
    if following.leads and not state.aged:
        yield 'time ages', _aged(state)


def _aged(state: State) -> State:
    """End what the former leader has ordered.

    Only a worker that has answered the next leader gets its leases.
    """
    answered = state.leaders[NEXT - 1].answered
    workers = tuple(
        worker
        if number in answered
        else Worker(worker.fence, over=worker.over)
        for number, worker in enumerate(state.workers)
    )
    left = {row for row in state.messages if row.term != FORMER}
    return state._replace(aged=True, workers=workers, messages=frozenset(left))


def _at_leader(protocol, state, term, leader) -> Steps:
    if state.stamp and not leader.job:
        job = _taken_as(protocol, state.stamp, term)
        if job:
            after = _with_leader(state, term, leader._replace(job=job))
            yield f'leader {term} hears of the job', after
    for number in WORKERS:
        if number not in leader.answered:
            asked = _send(state, Message('ask', number, term))
            if asked != state:
                yield f'leader {term} asks {number}', asked
        elif _may_start(protocol, state, leader):
            yield _started(state, term, leader, number)
    if leader.run is not None and not leader.run.stopping:
        after = leader._replace(run=leader.run._replace(stopping=True))
        yield (
            f'leader {term} stops its run',
            _stop_sent(_with_leader(state, term, after), term, leader.run),
        )
    elif leader.run is not None:
        again = _stop_sent(state, term, leader.run)
        if again != state:
            yield f'leader {term} stops its run again', again


def _taken_as(protocol: Protocol, stamp: int, term: int) -> str:
    """Say what a leader takes a job for that it hears of; '' for none."""
    if not protocol.stamped:
        return 'new'
    if stamp > term:
        return ''
    return 'new' if stamp == term else 'old'


def _may_start(protocol, state, leader) -> bool:
    if not leader.job or leader.run or leader.starts >= MOST_STARTS:
        return False
    resolved = state.aged or len(leader.answered) == len(WORKERS)
    return leader.job == 'new' or resolved or not protocol.waits


def _started(state, term, leader, number) -> tuple[str, State]:
    base = NEXT_BASE if leader.job == 'old' else 0
    attempt = base + leader.starts + 1
    after = leader._replace(run=Run(number, attempt), starts=leader.starts + 1)
    order = Message('start', number, term, attempt)
    return (
        f'leader {term} starts {attempt} on {number}',
        _send(_with_leader(state, term, after), order),
    )


def _stop_sent(state: State, term: int, run: Run) -> State:
    return _send(state, Message('stop', run.worker, term, run.attempt))


def _send(state: State, message: Message) -> State:
    return state._replace(messages=state.messages | {message})


def _with_leader(state: State, term: int, leader: Leader) -> State:
    leaders = list(state.leaders)
    leaders[term - 1] = leader
    return state._replace(leaders=tuple(leaders))


def _with_worker(state: State, number: int, worker: Worker) -> State:
    workers = list(state.workers)
    workers[number] = worker
    return state._replace(workers=tuple(workers))


def _heard(protocol: Protocol, state: State, message: Message):
    """Give the worker with the order's term noted; None if it refuses."""
    worker = state.workers[message.worker]
    if message.term < worker.fence and protocol.fenced:
        return None
    return worker._replace(fence=max(worker.fence, message.term))


def _start(protocol, state, message) -> State:
    worker = _heard(protocol, state, message)
    if worker is None:
        return state
    state = _with_worker(state, message.worker, worker)
    if worker.attempt == message.attempt:
        return state
    if worker.attempt or message.attempt <= worker.over:
        return _send(state, message._replace(kind='refused'))
    begun = worker._replace(attempt=message.attempt)
    return _with_worker(state, message.worker, begun)


def _refused(protocol, state, message) -> State:
    """Let the leader know that its start has surely not run."""
    return _over(protocol, state, message)


def _over(protocol, state, message) -> State:
    """Let the leader know that its run is over."""
    leader = state.leaders[message.term - 1]
    run = leader.run
    if run is None or run[:2] != (message.worker, message.attempt):
        return state
    return _with_leader(state, message.term, leader._replace(run=None))


def _stop(protocol, state, message) -> State:
    worker = _heard(protocol, state, message)
    if worker is None:
        return state
    worker = worker._replace(over=max(worker.over, message.attempt))
    if worker.attempt == message.attempt:
        worker = worker._replace(stopping=True)
        return _with_worker(state, message.worker, worker)
    state = _with_worker(state, message.worker, worker)
    return _send(state, message._replace(kind='over'))


def _halt(state: State, number: int, worker: Worker) -> State:
    attempt = worker.attempt
    idle = worker._replace(attempt=0, stopping=False)
    state = _with_worker(state, number, idle)
    return _send(state, Message('over', number, worker.fence, attempt))


def _ask(protocol, state, message) -> State:
    worker = _heard(protocol, state, message)
    if worker is None:
        return state
    state = _with_worker(state, message.worker, worker)
    report = message._replace(kind='report', attempt=worker.attempt)
    return _send(state, report)


def _report(protocol, state, message) -> State:
    """Let a leader take what a worker ran when it was asked."""
    term, number = message.term, message.worker
    leader = state.leaders[term - 1]
    leader = leader._replace(answered=leader.answered | {number})
    state = _with_leader(state, term, leader)
    if not message.attempt:
        return state
    listed = Run(number, message.attempt)
    if leader.job and leader.run is None:
        adopted = leader._replace(run=listed)
        return _with_leader(state, term, adopted)
    if leader.run is not None and leader.run[:2] == listed[:2]:
        return state
    if leader.run is not None:
        own = leader.run._replace(stopping=True)
        state = _with_leader(state, term, leader._replace(run=own))
        state = _stop_sent(state, term, own)
    return _stop_sent(state, term, listed)


_HANDLERS = {
    'start': _start,
    'stop': _stop,
    'ask': _ask,
    'refused': _refused,
    'over': _over,
    'report': _report,
}


def main() -> int:
    """Explore the protocol; the status is 1 if it has a breach."""
    outcome = explore(Protocol())
    print(f'ownership: {outcome.states} states')
    for name in outcome.breach:
        print(f'  {name}')
    return 1 if outcome.breach else 0


if __name__ == '__main__':
    sys.exit(main())
