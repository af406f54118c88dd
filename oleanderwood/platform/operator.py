"""What the platform's operator writes: configuration and waves."""

import math
import typing

import msgspec

from oleanderwood import codec
from oleanderwood import ids
from oleanderwood.jobs import queues
from oleanderwood.maintenance import fleet
from oleanderwood.tenants import credentials
from oleanderwood.tenants import model as tenants_

CONFIGURATION_KEY = 'op/config'
WAVES_PREFIX = 'op/wave/'
WAVE_STATUS_PREFIX = 'status/wave/'


_Whole = typing.Annotated[int, msgspec.Meta(ge=-(2**53), le=2**53)]
_Real = typing.Annotated[float, msgspec.Meta(ge=-(2**53), le=2**53)]
"""Numbers with which the code can count in any unit."""


class _WireAdvice(msgspec.Struct):
    decide_ms: _Real = 0
    period_ms: _Real = 0
    valid_ms: _Real = 0


class _WireRoute(msgspec.Struct):
    name: str
    host: str
    prefix: str
    service: str
    target_duration_ms: _Real = 0
    priority: _Whole = 0
    max_attempts: _Whole = 1
    stretch: _Real = 1.0
    advice: _WireAdvice | None = None
    public: bool | None = None


class _WireService(msgspec.Struct):
    name: str
    admission_check: bool = False
    standby: bool = False


_Amount = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]


class _WireLimit(msgspec.Struct):
    cpu: _Amount
    mem_mb: _Amount
    gpu: _Amount


class _WireTenant(msgspec.Struct):
    # Its ``priority`` is not read: what urgent jobs are is the queues' word.
    name: typing.Annotated[str, msgspec.Meta(min_length=1, max_length=200)]
    api_keys: list[str]
    weight: float
    max_count: _WireLimit


class _WireConfig(msgspec.Struct):
    version: _Whole
    routes: list[_WireRoute] = []
    services: list[_WireService] = []
    tenants: typing.Any = None


def decode_configuration(value: bytes) -> queues.Configuration:
    """Decode the operator's configuration; a route is a queue of jobs.

    :raises msgspec.MsgspecError: the value is malformed
    """
    wire = codec.decode(value, _WireConfig)
    tenants = None if wire.tenants is None else _tenants(wire.tenants)
    if tenants is None and any(row.public is False for row in wire.routes):
        # Queues that ask for keys, of which there are none.
        tenants = tenants_.Tenants()
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
            public=tenants is None if route.public is None else route.public,
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
        tenants,
    )


def _tenants(rows: typing.Any) -> tenants_.Tenants:
    """Decode tenants one by one: a bad entry costs no other tenant anything.

    What can't be read opens nothing.
    """
    if not isinstance(rows, list):
        return tenants_.Tenants(faults=('the tenants are no list',))
    good: list[tenants_.TenantEntry] = []
    faults: list[str] = []
    for index, row in enumerate(rows):
        try:
            good.append(_tenant(row))
        except ValueError as error:
            faults.append(f'entry {index}: {error}')
    return tenants_.collect(good, faults)


def _tenant(row: typing.Any) -> tenants_.TenantEntry:
    wire = msgspec.convert(row, type=_WireTenant)
    if not (math.isfinite(wire.weight) and wire.weight > 0):
        raise ValueError('a weight that is not above 0')
    limit = wire.max_count
    keys = [key.encode() for key in wire.api_keys]
    if not all(keys):
        raise ValueError('an empty key')
    return tenants_.TenantEntry(
        tenants_.Tenant(
            ids.TenantId(wire.name),
            wire.weight,
            tenants_.Limit(limit.cpu, limit.mem_mb, limit.gpu),
        ),
        tuple(credentials.digest(key) for key in keys),
    )


_Number = typing.Annotated[int, msgspec.Meta(ge=0, le=2**53)]
"""A number that becomes part of a key, which has a greatest length."""


class _WireWave(msgspec.Struct):
    wave: _Number
    machines: list[str] = []
    duration_s: _Real = 0
    max_count: _Whole = 1


def decode_wave(value: bytes) -> fleet.Wave:
    """Decode a wave of maintenance that the operator asks for.

    :raises msgspec.MsgspecError: the value is malformed
    """
    wire = codec.decode(value, _WireWave)
    return fleet.Wave(
        wire.wave, tuple(wire.machines), wire.duration_s, wire.max_count
    )


def encode_wave_status(completed: bool) -> bytes:
    """Encode how far a wave is, for the operator."""
    state = 'completed' if completed else 'running'
    return msgspec.json.encode({'state': state})
