"""Settings file of a server process, validated as a whole."""

import pathlib
import typing

import msgspec

from oleanderwood import errors
from oleanderwood import ids

PATH_VARIABLE = 'OLEANDERWOOD_BOOT'
"""Environment variable that contains the path of the settings file."""


class Settings(msgspec.Struct, frozen=True):
    """Settings of a server process.

    :ivar name: name of the server, unique among all servers
    :ivar callers_listen: address for callers
    :ivar ready_listen: address for the readiness checks of the load balancer
    :ivar inner_port: port for other servers, metrics and dumps
    :ivar store_lease_min_ms: shortest lease that the store grants
    :ivar heartbeat_ms: interval at which workers write their entries
    :ivar maintenance_s: time that maintenance of a machine takes
    :ivar move_s: time that a move of a machine to another pool takes
    :ivar admin_token: token that an apply must contain; '' refuses every
        apply
    :ivar cpu_share: fraction of a core that the process gets
    :ivar cpu_speed: speed factor of that core; ``cpu_share`` times this factor
        is the processor time in cores
    :ivar memory_mb: memory beyond which the process is killed; 0 if unknown
    :ivar descriptors: maximum number of open files and sockets
    :ivar stop_time_s: time from the stop signal until the process is killed
    :ivar max_task_lease_ms: longest lease that a worker grants its tasks
    :ivar contact_ms: longest delay of the notification of a change in the
        store, by the platform's rules
    :ivar key_revocation_ms: time after which no server may accept a revoked
        key
    :ivar task_stop_ms: longest time of a stop of a task
    :ivar task_restore_ms: time in which a task resumes from its checkpoint
    :ivar machine_turn_ms: minimum time between the orders of two leaders for
        one machine
    :ivar job_retention_s: how long an ended job can be queried by callers
    :ivar contracts: names of the platform's rules that are in force
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
    task_restore_ms: float = 250.0
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
    memory_mb: float = 0.0
    descriptors: int = 4096
    contracts: tuple[str, ...] = ()


class BadSettings(errors.OleanderError):
    """The settings file is invalid; the message lists every error."""


def read(path: str) -> Settings:
    """Read and validate a settings file, ignoring unknown fields.

    :raises BadSettings: with every error of the file
    """
    try:
        raw = msgspec.json.decode(pathlib.Path(path).read_bytes())
    except (OSError, msgspec.MsgspecError) as error:
        raise BadSettings(f'{path}: {error}') from error
    if not isinstance(raw, dict):
        raise BadSettings(f'{path}: settings must be a JSON object')
    return check(raw)


def check(raw: dict[str, typing.Any]) -> Settings:
    """Validate raw settings one by one.

    :raises BadSettings: with every error
    """
    messages = []
    values = {}
    for field in msgspec.structs.fields(Settings):
        value = raw.get(field.name)
        if value is None:
            if field.default is msgspec.NODEFAULT:
                messages.append(f'{field.name}: is missing')
            continue
        try:
            values[field.name] = msgspec.convert(value, type=field.type)
        except msgspec.ValidationError as error:
            messages.append(f'{field.name}: {error}')
            continue
        message = _describe_error(field.name, values[field.name])
        if message:
            messages.append(f'{field.name}: {message}')
    if messages:
        raise BadSettings('; '.join(messages))
    return Settings(**values)


def _describe_error(name: str, value: typing.Any) -> str:
    if name.endswith(('_address', '_listen')):
        _host, _, port = value.rpartition(':')
        if not port.isdigit():
            return f'{value!r} is not an IP address and a port'
    if isinstance(value, int | float) and value < 0:
        return f'{value} is below 0'
    return ''


def cores(settings: Settings) -> float:
    """Return the processor time available to the process, in cores."""
    return settings.cpu_share * settings.cpu_speed


def caller_connections(settings: Settings) -> int:
    """Return the maximum number of open connections from callers.

    Half of the descriptors are left for files, the store, workers and other
    servers, without which no caller can be served.
    """
    return max(1, settings.descriptors // 2)


def inner_address(settings: Settings) -> ids.Address:
    """Return the address at which other servers reach this one."""
    return ids.Address(f'{settings.ip}:{settings.inner_port}')
