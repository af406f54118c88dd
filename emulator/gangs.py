"""Gangs: tasks that work only while all of one run are there."""

import dataclasses
import typing

GANG_TIMEOUT_S = 3.0
"""Time that a task waits for the others of its gang."""


@dataclasses.dataclass(eq=False)
class Gang:
    """The runs of one attempt of a gang.

    :ivar size: how many it needs
    :ivar members: executors and runs, by task
    :ivar racks: of its members
    :ivar whole: all were there at some time
    :ivar broken: one of a whole gang has ended
    """

    size: int
    members: dict[str, tuple[typing.Any, typing.Any]] = dataclasses.field(
        default_factory=dict
    )
    racks: set[str] = dataclasses.field(default_factory=set)
    whole: bool = False
    broken: bool = False


Gangs = dict[tuple[str, int, str], Gang]
"""By group, attempt and the saved work that it goes on from."""


def join(gangs: Gangs, executor, run, checkpoint: str) -> Gang:
    """Let a run join the others of its gang."""
    group = run.task.rpartition('.')[0]
    key = group, run.attempt, checkpoint
    gang = gangs.setdefault(key, Gang(run.spec['count']))
    gang.members[run.task] = executor, run
    gang.racks.add(executor.rack)
    if len(gang.members) == gang.size:
        gang.whole = True
    return gang


def leave(gang: Gang, task: str) -> None:
    """Note that a run of a gang is over; the others of a whole one break."""
    gang.members.pop(task, None)
    if gang.whole:
        gang.broken = True


def is_remote(gang: Gang, run) -> bool:
    """Say whether a gang works slowly since it spans racks."""
    return bool(run.spec.get('same_rack')) and len(gang.racks) > 1
