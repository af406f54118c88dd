"""Access to the operators' file: its types, and reading it from TOML."""

import enum
import tomllib
import typing

import msgspec

from oleanderwood import errors
from oleanderwood import ids

Name = typing.Annotated[
    str, msgspec.Meta(pattern=r'^[a-z0-9][a-z0-9._-]{0,62}$')
]
Count = typing.Annotated[int, msgspec.Meta(ge=0)]
Positive = typing.Annotated[int, msgspec.Meta(ge=1)]
Seconds = typing.Annotated[float, msgspec.Meta(gt=0)]
Share = typing.Annotated[float, msgspec.Meta(ge=0, le=1)]
Weight = typing.Annotated[float, msgspec.Meta(ge=0)]


class Survives(enum.Enum):
    """The failure domain whose loss a pool promises to survive."""

    NOTHING = 'nothing'
    VM = 'vm'
    RACK = 'rack'
    DATA_CENTRE = 'data-centre'


class Action(enum.Enum):
    """What a wave does to each of its VMs."""

    REBOOT = 'reboot'
    REPLACE = 'replace'


class Priority(enum.Enum):
    """How a job or request ranks when there is too little room."""

    URGENT = 'urgent'
    NORMAL = 'normal'
    BULK = 'bulk'


class Struct(
    msgspec.Struct, frozen=True, kw_only=True, forbid_unknown_fields=True
):
    """Base of all sections: unknown keys are errors."""


class Pool(Struct):
    """VMs that serve one service.

    ``size`` VMs are wanted; ``min_up`` must serve at every moment. The
    quarter's budget is the VM-seconds below ``size`` that the pool may
    still spend through waves and failures.
    """

    name: Name
    service: Name
    region: Name
    data_centres: typing.Annotated[
        tuple[Name, ...], msgspec.Meta(min_length=1)
    ]
    size: Positive
    min_up: Count
    survives: Survives = Survives.VM
    unavailability_budget_s: Seconds = 5_000_000.0


class Service(Struct):
    """What callers ask for: the route, and how its upstreams are used."""

    name: Name
    path_prefix: typing.Annotated[str, msgspec.Meta(pattern=r'^/')]
    idempotent: bool = False
    timeout_s: Seconds = 30.0
    connect_timeout_s: Seconds = 1.0
    slots: Positive = 8
    """Requests that one upstream works on at once."""

    connections: Positive = 64
    """Connections that one upstream takes, over all entries."""

    retry_share: Share = 0.1
    """Retries allowed as a share of fresh requests."""

    max_body_bytes: Positive = 1 << 30
    refusal_statuses: tuple[int, ...] = ()
    """Upstream statuses by which the service promises ``NOT_RUN``."""


class Team(Struct):
    """A caller's team and its quotas."""

    name: Name
    max_tasks: Count = 1000
    max_cores: Weight = 1000.0
    max_memory_gib: Weight = 4000.0
    requests_per_s: Weight = 1000.0


class Job(Struct):
    """Work that a pool's workers carry."""

    name: Name
    pool: Name
    team: Name
    tasks: Positive = 1
    cores: Weight = 1.0
    memory_gib: Weight = 1.0
    accelerators: Count = 0
    expected_run_s: Seconds = 600.0
    priority: Priority = Priority.NORMAL


class Wave(Struct):
    """Maintenance of all VMs of some pools before a deadline."""

    name: Name
    pools: typing.Annotated[tuple[Name, ...], msgspec.Meta(min_length=1)]
    action: Action = Action.REBOOT
    deadline_s: Seconds = 3600.0
    """Seconds from the wave's start."""

    not_between: tuple[str, ...] = ()
    """Hours of day without new batches, as in ``05:00-07:30`` (UTC)."""


class Weights(Struct):
    """What the operators weigh: the decisions minimise the weighted sum."""

    buffer: Weight = 1.0
    roll_out: Weight = 1.0
    moves: Weight = 1.0


class Configuration(Struct):
    """A whole operators' file."""

    pools: tuple[Pool, ...] = ()
    services: tuple[Service, ...] = ()
    teams: tuple[Team, ...] = ()
    jobs: tuple[Job, ...] = ()
    waves: tuple[Wave, ...] = ()
    weights: Weights = Weights()


def parse(text: str) -> Configuration:
    """Read an operators' file.

    :param text: TOML
    :raises errors.ConfigurationFault: it is no TOML or doesn't fit the
        types; names the line or the path
    """
    try:
        document = tomllib.loads(text)
    except tomllib.TOMLDecodeError as error:
        raise errors.ConfigurationFault(
            'file', f'not TOML: {error}', 'mend the syntax there'
        ) from error
    return from_document(document)


def from_document(document: typing.Any) -> Configuration:
    """Check a decoded file against the types.

    :raises errors.ConfigurationFault: names the path
    """
    try:
        return msgspec.convert(document, Configuration)
    except msgspec.ValidationError as error:
        reason, _, path = str(error).partition(' - at ')
        raise errors.ConfigurationFault(
            path.strip('`$').lstrip('.') or 'file',
            reason,
            'see the file format in docs/OPERATORS.md',
        ) from error


class Head(msgspec.Struct, frozen=True):
    """Which revision is accepted, and the parts that make it up.

    ``parts`` maps part names to references; the parts themselves are
    immutable values (see :mod:`oleanderwood.parts`). ``base`` is the
    revision that it was made from, ``operation`` the apply that made it.
    """

    revision: ids.Revision
    base: ids.Revision
    parts: dict[str, str]
    operation: ids.OperationId
    author: str = ''
    accepted_at_s: float = 0.0
