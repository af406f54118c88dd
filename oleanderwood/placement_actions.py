"""Access to the actions that a placement decision consists of.

They are carried out in the order given; each quotes the task's epoch.
"""

import msgspec

from oleanderwood import ids


class StartTask(msgspec.Struct, frozen=True, gc=False):
    """Start a task; ``epoch`` is the one to note with the intent."""

    task: str
    job: ids.JobId
    worker: ids.VmId
    epoch: ids.Epoch
    cores: float
    memory_gib: float
    accelerators: int = 0


class ThrottleTask(msgspec.Struct, frozen=True, gc=False):
    """Slow a running copy down, so that its cores serve others."""

    task: str
    worker: ids.VmId
    epoch: ids.Epoch


class CheckpointTask(msgspec.Struct, frozen=True, gc=False):
    """Save a running copy's work and end it."""

    task: str
    worker: ids.VmId
    epoch: ids.Epoch
    reason: str = ''


class StopTask(msgspec.Struct, frozen=True, gc=False):
    """End a copy without saving its work."""

    task: str
    worker: ids.VmId
    epoch: ids.Epoch
    reason: str = ''


class NeverRuns(msgspec.Struct, frozen=True, gc=False):
    """Tell that a job can't run as things are, and what would help."""

    job: ids.JobId
    reason: str
    remedy: str


class HoldBack(msgspec.Struct, frozen=True, gc=False):
    """Tell that a job fails wherever it runs, and is tried seldom."""

    job: ids.JobId
    reason: str
    until_s: float


class SetAside(msgspec.Struct, frozen=True, gc=False):
    """Tell that a worker gets no tasks but probes, and why."""

    worker: ids.VmId
    reason: str


Action = (
    StartTask
    | ThrottleTask
    | CheckpointTask
    | StopTask
    | NeverRuns
    | HoldBack
    | SetAside
)
