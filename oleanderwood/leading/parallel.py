"""Runs calls concurrently."""

import collections.abc
import dataclasses
import typing

import curio

Call = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
]


@dataclasses.dataclass(frozen=True)
class _Failure:
    """The exception of a failed call.

    A task that raised it would log a traceback and cancel the other tasks of
    its group; their cancellation would be reported in its place.
    """

    error: Exception


async def run(calls: collections.abc.Iterable[Call]) -> list[typing.Any]:
    """Make calls concurrently and return their results in order.

    A call that fails does not end the others.

    :raises Exception: that of the first failed call, once all have ended
    """
    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(_call_outcome, call) for call in calls]
    results = [task.result for task in tasks]
    for result in results:
        if isinstance(result, _Failure):
            raise result.error
    return results


async def _call_outcome(call: Call) -> typing.Any:
    try:
        return await call()
    except Exception as error:
        return _Failure(error)
