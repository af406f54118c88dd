"""Virtual time: waiting costs nothing, and a run repeats to the letter."""

import collections.abc
import itertools
import selectors
import time
import typing

import curio
import curio.task

from oleanderwood import clock

WORLD = 'world'
"""Process of all that isn't one of the product's processes."""

WALL_S = 1_700_000_000.0
"""Time of day at which a run begins, since 1970."""


_KERNELS: list[curio.Kernel] = []

_NUMBERS: list[collections.abc.Iterator[int]] = []
"""Numbers of the tasks of each run that goes on."""

_SUSPENDED_UNTIL_S: dict[str, float] = {}
"""Processes that do nothing at all until a time."""

MOMENT_S = 1e-9
"""Times that are closer than this are the same."""


class Stalled(Exception):
    """Nothing will ever happen again."""


class Task(curio.task.Task):
    """A task that knows which emulated process it belongs to.

    Groups of tasks are sets: their order must be the same in each run, so
    tasks aren't told apart by their places in memory.

    :ivar acting: the process whose code it runs at present: a call is
        handled by the task that makes it
    :ivar held: what it gets once its process isn't suspended any more: the
        result that it waited for, then cancels and timeouts
    """

    def __init__(self, coro: typing.Any, parent: typing.Any = None) -> None:
        super().__init__(coro, parent)
        self.process = getattr(parent, 'process', WORLD)
        self.acting = getattr(parent, 'acting', WORLD)
        self.held: list[typing.Any] = []
        self.number = next(_NUMBERS[-1])

    def __hash__(self) -> int:
        return self.number

    def send(self, value: typing.Any) -> typing.Any:
        """Go on, unless the process is suspended: then ask for a sleep."""
        left_s = _suspended_s(self.acting)
        if not self.held:
            if left_s <= 0.0:
                return super().send(value)
            self.held.append(value)
        elif isinstance(value, BaseException):
            self.held.append(value)
        if left_s > 0.0:
            return 'trap_sleep', left_s
        first, *later = self.held
        self.held = []
        if later:
            self.cancel_pending = later[-1]
        return super().send(first)


def _suspended_s(name: str) -> float:
    left_s = _SUSPENDED_UNTIL_S.get(name, 0.0) - clock.now_s()
    return left_s if left_s > MOMENT_S else 0.0


class _Selector(selectors.BaseSelector):
    """Lets time pass in place of waiting."""

    def __init__(self, now: list[float]) -> None:
        self._now = now
        self._keys: dict[typing.Any, selectors.SelectorKey] = {}

    def register(self, fileobj, events, data=None):
        key = selectors.SelectorKey(fileobj, 0, events, data)
        self._keys[fileobj] = key
        return key

    def unregister(self, fileobj):
        return self._keys.pop(fileobj)

    def select(self, timeout=None):
        if timeout is None:
            raise Stalled
        self._now[0] += max(0.0, timeout)
        return []

    def get_map(self):
        return self._keys


def run(
    main: collections.abc.Callable[[], collections.abc.Awaitable[typing.Any]],
) -> typing.Any:
    """Run a coroutine function in virtual time that begins at 0."""
    now = [0.0]
    kept = (time.monotonic, time.time, clock.now_s, clock.wall_ms)
    time.monotonic = lambda: now[0]
    time.time = lambda: WALL_S + now[0]
    clock.now_s = lambda: now[0]
    clock.wall_ms = lambda: (WALL_S + now[0]) * 1000
    kernel = curio.Kernel(selector=_Selector(now), taskcls=Task)
    _KERNELS.append(kernel)
    _NUMBERS.append(itertools.count())
    try:
        return kernel.run(main)
    finally:
        _KERNELS.pop()
        _SUSPENDED_UNTIL_S.clear()
        kernel.run(shutdown=True)
        _NUMBERS.pop()
        time.monotonic, time.time, clock.now_s, clock.wall_ms = kept


async def start_process(
    name: str, main: collections.abc.Callable, *args: typing.Any
) -> curio.Task:
    """Start a coroutine as an emulated process."""
    task = await curio.spawn(main, *args, daemon=True)
    task.process = name
    task.acting = name
    return task


async def spawn_in_world(
    main: collections.abc.Callable, *args: typing.Any
) -> None:
    """Start a task that no process takes along when it dies."""
    await start_process(WORLD, main, *args)


async def kill_process(name: str) -> None:
    """Cancel all tasks of an emulated process, without a last word."""
    _SUSPENDED_UNTIL_S.pop(name, None)
    for task in list(_KERNELS[-1]._tasks.values()):
        if getattr(task, 'process', '') == name:
            await task.cancel(blocking=False)


async def process() -> str:
    """Give the process that the running task belongs to."""
    return (await curio.current_task()).process


def suspend_process(name: str, for_s: float) -> None:
    """Let a process do nothing for a while; its clock goes on.

    What others have sent to it meanwhile, and its own timers, it finds when
    it goes on.
    """
    _SUSPENDED_UNTIL_S[name] = clock.now_s() + for_s


async def until_awake(name: str) -> None:
    """Wait while a process is suspended."""
    while (left_s := _suspended_s(name)) > 0.0:
        await curio.sleep(left_s)


async def act_for(name: str) -> str:
    """Note whose code the running task runs from now on; gives the last."""
    task = await curio.current_task()
    before, task.acting = task.acting, name
    return before


async def forever() -> None:
    """Wait until cancelled or timed out."""
    while True:
        await curio.sleep(3600.0)
