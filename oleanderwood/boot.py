"""The settings file of a server process, checked as a whole."""

import pathlib
import typing

import msgspec

from oleanderwood import errors
from oleanderwood import ids

PATH_VARIABLE = 'OLEANDERWOOD_BOOT'
"""Environment variable with the path of the settings file."""


class Settings(msgspec.Struct, frozen=True):
    """What a server process is told of its place.

    :ivar name: unlike the names of all other servers
    :ivar callers_listen: where callers connect
    :ivar ready_listen: where the balancer asks whether it is ready
    :ivar inner_port: where the other servers, metrics and dumps connect
    :ivar admin_token: what an apply must bring; '' refuses all applies
    :ivar cpu_share: part of a core that the process gets
    :ivar cpu_speed: how many times as fast as one such core that is
    :ivar descriptors: files and sockets that the process may hold open
    :ivar stop_time_s: from the signal to stop until the process is killed
    :ivar max_task_lease_ms: longest lease that a worker gives its tasks
    :ivar contact_ms: how long a change in the store may stay unheard, by the
        platform's rules
    :ivar key_revocation_ms: after this time no server may serve a key that
        was taken away
    :ivar machine_turn_ms: time between the orders of two leaders for one
        machine
    :ivar job_retention_s: how long callers may ask for an ended job
    """

    name: str
    ip: str
    data_centre: ids.DataCentre
    callers_listen: ids.Address
    ready_listen: ids.Address
    inner_port: int
    store_address: ids.Address
    store_writes_per_s: float = 400.0
    store_reads_per_s: float = 2000.0
    store_lease_min_ms: float = 1000.0
    machines_address: ids.Address | None = None
    machine_orders_per_s: float = 10.0
    machine_reads_per_s: float = 10.0
    advice_address: ids.Address | None = None
    heartbeat_ms: float = 1500.0
    stop_time_s: float = 6.0
    max_task_lease_ms: float = 6000.0
    contact_ms: float = 3000.0
    task_stop_ms: float = 200.0
    machine_turn_ms: float = 3000.0
    maintenance_s: float = 2.0
    move_s: float = 1.5
    latency_harm_ms: float = 4000.0
    pace_delay_ms: float = 100.0
    job_retention_s: float = 120.0
    key_revocation_ms: float = 5000.0
    admin_token: str = ''
    cpu_share: float = 1.0
    cpu_speed: float = 1.0
    descriptors: int = 4096


class BadSettings(errors.OleanderError):
    """The settings file can't be used; the text names every fault."""


def read(path: str) -> Settings:
    """Read and check a settings file; unknown fields are ignored.

    :raises BadSettings: with every fault of the file
    """
    try:
        raw = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise BadSettings(f'{path}: {error}') from error
    if not isinstance(raw, dict):
        raise BadSettings(f'{path}: not a table of settings')
    return check(raw)


def check(raw: dict[str, typing.Any]) -> Settings:
    """Check raw settings one by one.

    :raises BadSettings: with every fault
    """
    faults = []
    values = {}
    for field in msgspec.structs.fields(Settings):
        value = raw.get(field.name)
        if value is None:
            if field.default is msgspec.NODEFAULT:
                faults.append(f'{field.name}: is missing')
            continue
        try:
            values[field.name] = msgspec.convert(value, type=field.type)
        except msgspec.ValidationError as error:
            faults.append(f'{field.name}: {error}')
            continue
        fault = _fault(field.name, values[field.name])
        if fault:
            faults.append(f'{field.name}: {fault}')
    if faults:
        raise BadSettings('; '.join(faults))
    return Settings(**values)


def _fault(name: str, value: typing.Any) -> str:
    if name.endswith(('_address', '_listen')):
        _host, _, port = value.rpartition(':')
        if not port.isdigit():
            return f'{value!r} is not an IP number and a port'
    if isinstance(value, int | float) and value < 0:
        return f'{value} is below 0'
    return ''


def cores(settings: Settings) -> float:
    """Give the processor time that the process gets, in cores."""
    return settings.cpu_share * settings.cpu_speed


def caller_connections(settings: Settings) -> int:
    """Give how many connections callers may hold open.

    Half of the descriptors: the others are for files, the store, workers and
    the other servers, without which nobody is served.
    """
    return max(1, settings.descriptors // 2)


def inner_address(settings: Settings) -> ids.Address:
    """Give the address on which the other servers reach this one."""
    return ids.Address(f'{settings.ip}:{settings.inner_port}')
