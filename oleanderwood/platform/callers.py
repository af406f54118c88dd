"""Callers' requests: jobs as they are handed in, and the answers."""

import typing

import msgspec

from oleanderwood import codec
from oleanderwood import errors
from oleanderwood.jobs import model


MAX_TASKS = model.MAX_TASKS

_Count = typing.Annotated[int, msgspec.Meta(ge=0, le=10**9)]
"""A number of things; a negative need would make room."""

_Time = typing.Annotated[float, msgspec.Meta(ge=0)]


class _WirePhase(msgspec.Struct):
    # What the wire calls phases are the steps of a job.
    count: _Count = 0
    cpu: _Count = 0
    mem_mb: _Count = 0
    gpu: _Count = 0
    estimate_ms: _Time = 0
    after: list[int] = []
    checkpointing: bool = False
    gang: bool = False
    same_rack: bool = False
    required_label: str = ''
    affinity: str = ''
    max_per_server: _Count = 0
    speculative: bool = False
    long_running: bool = False
    image: str = ''
    target_ms: _Time = 0
    fills: bool = False
    may_miss: _Count = 0


class _WireJob(msgspec.Struct):
    spec: str = ''
    phases: list[_WirePhase] = []
    repeat_count: _Count = 0
    start_time_ms: _Time = 0
    interval_ms: _Time = 0


def decode_job(body: bytes) -> model.Work:
    """Decode a job that a caller hands in.

    :raises errors.BadMessage: 400, the body is malformed
    """
    try:
        wire = codec.decode(body, _WireJob)
    except codec.MalformedValue as error:
        raise errors.BadMessage(400, str(error)) from error
    work = model.Work(
        text=wire.spec,
        steps=tuple(_step(phase) for phase in wire.phases),
        repeats=wire.repeat_count,
        first_due_ms=wire.start_time_ms,
        repeat_every_ms=wire.interval_ms,
    )
    try:
        model.check(work)
    except model.BadWork as error:
        raise errors.BadMessage(400, str(error)) from error
    return work


def _step(wire: _WirePhase) -> model.Step:
    return model.Step(
        tasks=wire.count,
        needs=model.Resources(wire.cpu, wire.mem_mb, wire.gpu),
        guess_ms=wire.estimate_ms,
        after=tuple(dict.fromkeys(wire.after)),
        checkpoints=wire.checkpointing,
        gang=wire.gang,
        one_rack=wire.same_rack,
        label=wire.required_label,
        near_rack=wire.affinity,
        max_per_worker=wire.max_per_server,
        speculative=wire.speculative,
        is_long_running=wire.long_running,
        image=wire.image,
        latency_target_ms=wire.target_ms,
        uses_leftover=wire.fills,
        max_unavailable=wire.may_miss,
    )


def encode_state(state: model.State) -> bytes:
    """Encode the answer to a caller who asks for a job's state."""
    return msgspec.json.encode({'state': state.value})


def encode_pending(count: int) -> bytes:
    """Encode how many accepted jobs of a queue haven't begun."""
    return msgspec.json.encode({'pending': count})
