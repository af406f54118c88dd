"""Calls that are made side by side."""

import collections.abc
import dataclasses
import typing

import curio

Call = collections.abc.Callable[
    [], collections.abc.Coroutine[typing.Any, typing.Any, typing.Any]
]


@dataclasses.dataclass(frozen=True)
class _Failure:
    """Why a call failed.

    A task that raised it would fill the log, and end the others of its group,
    whose cancelling would be told in its place.
    """

    error: Exception


async def run(calls: collections.abc.Iterable[Call]) -> list[typing.Any]:
    """Make calls at the same time; gives their results in order.

    One that fails doesn't end the others.

    :raises Exception: of the first that failed, once all are over
    """
    async with curio.TaskGroup() as group:
        tasks = [await group.spawn(_try, call) for call in calls]
    results = [task.result for task in tasks]
    for result in results:
        if isinstance(result, _Failure):
            raise result.error
    return results


async def _try(call: Call) -> typing.Any:
    try:
        return await call()
    except Exception as error:
        return _Failure(error)
