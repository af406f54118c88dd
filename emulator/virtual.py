"""Virtual time: waiting costs nothing, and a run repeats to the letter."""

import collections.abc
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


class Stalled(Exception):
    """Nothing will ever happen again."""


class Task(curio.task.Task):
    """A task that knows which emulated process it belongs to."""

    def __init__(self, coro: typing.Any, parent: typing.Any = None) -> None:
        super().__init__(coro, parent)
        self.process = getattr(parent, 'process', WORLD)


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
    try:
        return kernel.run(main)
    finally:
        _KERNELS.pop()
        kernel.run(shutdown=True)
        time.monotonic, time.time, clock.now_s, clock.wall_ms = kept


async def start_process(
    name: str, main: collections.abc.Callable, *args: typing.Any
) -> curio.Task:
    """Start a coroutine as an emulated process."""
    task = await curio.spawn(main, *args, daemon=True)
    task.process = name
    return task


async def spawn_in_world(
    main: collections.abc.Callable, *args: typing.Any
) -> None:
    """Start a task that no process takes along when it dies."""
    await start_process(WORLD, main, *args)


async def kill_process(name: str) -> None:
    """Cancel all tasks of an emulated process, without a last word."""
    for task in list(_KERNELS[-1]._tasks.values()):
        if getattr(task, 'process', '') == name:
            await task.cancel(blocking=False)


async def process() -> str:
    """Give the process that the running task belongs to."""
    return (await curio.current_task()).process


async def forever() -> None:
    """Wait until cancelled or timed out."""
    while True:
        await curio.sleep(3600.0)
