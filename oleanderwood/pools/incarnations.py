"""Incarnations of executors: an executor may restart under its id. Pure.

An incarnation holds and knows nothing of the previous one. Its name is the
executor's id and, if the executor reports it, its birth time; all state of an
executor is stored under that name, and so belongs to one incarnation. Birth
times do not tell which of two incarnations is the later one, since they are
wall-clock times, which may jump. Calls do: if a call that was sent after an
answer of one incarnation had arrived is answered by the other, the other is
the later one.
"""

from oleanderwood import ids

_SEPARATOR = '/'
"""Separates id and birth time; no id contains it, as ids are parts of keys."""


def incarnation_name(
    executor_id: ids.ExecutorId, born: int | None
) -> ids.VmId:
    """Return the name of an incarnation.

    :param born: its birth time in milliseconds since 1970; None if it is not
        reported: the executor is known by its id alone
    """
    if born is None:
        return ids.VmId(executor_id)
    return ids.VmId(f'{executor_id}{_SEPARATOR}{born}')


def has_birth_time(name: ids.VmId) -> bool:
    """Return whether an executor reports its birth, and so may keep its id."""
    return _SEPARATOR in name


def executor_of(name: ids.VmId) -> ids.ExecutorId:
    """Return the id of an incarnation's executor."""
    return ids.ExecutorId(name.partition(_SEPARATOR)[0])
