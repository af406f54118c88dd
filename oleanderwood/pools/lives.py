"""Lives of executors: an executor may start again under its id. Pure.

A life holds and knows nothing of the one before. Its name is the executor's id
and, where the executor tells, when it was born; what is remembered of an
executor is remembered under that name, so of one life. Which of two lives is
the later one isn't told by when they were born: that is a time of day, which
may jump. It is told by calls: one that was sent after an answer of the one
life had come, and is answered by the other.
"""

from oleanderwood import ids

_MARK = '/'
"""Stands between id and birth; no id has one, as ids are parts of keys."""


def life(executor: ids.ExecutorId, born: int | None) -> ids.VmId:
    """Name a life.

    :param born: its birth, in milliseconds since 1970; None if it isn't told:
        the executor is known by its id alone
    """
    if born is None:
        return ids.VmId(executor)
    return ids.VmId(f'{executor}{_MARK}{born}')


def tells_birth(life: ids.VmId) -> bool:
    """Say whether a life's executor tells births, and so may keep its id."""
    return _MARK in life


def executor(life: ids.VmId) -> ids.ExecutorId:
    """Give the id of the executor whose life it is."""
    return ids.ExecutorId(life.partition(_MARK)[0])
