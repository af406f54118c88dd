"""What the platform's operator writes: configuration and waves."""

import typing

import msgspec

from oleanderwood import ids
from oleanderwood.jobs import queues
from oleanderwood.maintenance import fleet

CONFIGURATION_KEY = 'op/config'
WAVES_PREFIX = 'op/wave/'
WAVE_STATUS_PREFIX = 'status/wave/'


class _WireAdvice(msgspec.Struct):
    decide_ms: float = 0
    period_ms: float = 0
    valid_ms: float = 0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    target_duration_ms: float = 0
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    advice: _WireAdvice | None = None


class _WireService(msgspec.Struct):
    name: str
    admission_check: bool = False
    standby: bool = False


class _WireConfig(msgspec.Struct):
    version: int
    routes: list[_WireRoute] = []
    services: list[_WireService] = []


def decode_configuration(value: bytes) -> queues.Configuration:
    """Decode the operator's configuration; a route is a queue of jobs.

    :raises msgspec.MsgspecError: the value is malformed
    """
    wire = msgspec.json.decode(value, type=_WireConfig)
    rows = [
        queues.Queue(
            name=route.name,
            host=route.host,
            prefix=route.prefix,
            service=ids.ServiceId(route.service),
            objective_ms=route.target_duration_ms,
            stretch=route.stretch,
            priority=route.priority,
            most_attempts=route.max_attempts,
            needs_advice=route.advice is not None,
        )
        for route in wire.routes
    ]
    standby = [row.name for row in wire.services if row.standby]
    guarded = [row.name for row in wire.services if row.admission_check]
    return queues.Configuration(
        wire.version,
        tuple(rows),
        tuple(ids.ServiceId(row.name) for row in wire.services),
        frozenset(ids.ServiceId(name) for name in standby),
        frozenset(ids.ServiceId(name) for name in guarded),
    )


_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""A number that becomes part of a key, which has a greatest length."""


class _WireWave(msgspec.Struct):
    wave: _Number
    machines: list[str] = []
    duration_s: float = 0
    max_count: int = 1


def decode_wave(value: bytes) -> fleet.Wave:
    """Decode a wave of maintenance that the operator asks for.

    :raises msgspec.MsgspecError: the value is malformed
    """
    wire = msgspec.json.decode(value, type=_WireWave)
    return fleet.Wave(
        wire.wave, tuple(wire.machines), wire.duration_s, wire.max_count
    )


def encode_wave_status(completed: bool) -> bytes:
    """Encode how far a wave is, for the operator."""
    state = 'completed' if completed else 'running'
    return msgspec.json.encode({'state': state})
