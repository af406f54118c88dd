"""Calls that are made side by side."""

import collections.abc

import curio

from oleanderwood import errors


def raise_first(tasks: collections.abc.Iterable[curio.Task]) -> None:
    """Raise what ended one of a group's tasks, if anything did.

    A task that was cancelled for another's failure tells nothing of it.

    :param tasks: those of a group that was joined
    """
    failures = [task.exception for task in tasks if task.exception]
    told = [row for row in failures if isinstance(row, errors.OleanderError)]
    for failure in [*told, *failures]:
        raise failure
