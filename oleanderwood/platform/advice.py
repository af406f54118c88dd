"""The platform's advice on which executors may run a step."""

import dataclasses

import msgspec

from oleanderwood import ids
from oleanderwood.platform import transport
from oleanderwood.pools import incarnations
from oleanderwood.web import connections

MOST_WORKERS = 100
"""Executors that one question may name."""

TIMEOUT_S = 10.0
"""Longest wait: the service takes its time for each executor named, and
answers one question of a machine after the other."""


@dataclasses.dataclass
class Advice:
    """Calls to the advice service."""

    address: ids.Address
    kept: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )


class Advised(msgspec.Struct, frozen=True):
    """Workers that may run a step, with the ticket a start must carry.

    :ivar valid_s: how long the tickets are taken
    """

    tickets: dict[ids.VmId, str]
    valid_s: float


class _WireAdvised(msgspec.Struct):
    good: list[tuple[str, str]] = []
    valid_ms: float = 0


async def ask(calls: Advice, step: str, workers: list[ids.VmId]) -> Advised:
    """Ask which of some workers may run a step.

    :param step: the name of its tasks without their index
    :raises errors.CallFailed: no answer, or too many questions wait
    """
    asked = {
        incarnations.executor_of(name): name for name in workers[:MOST_WORKERS]
    }
    body = {'step': step, 'workers': list(asked)}
    answer = await transport.call(
        calls.kept,
        calls.address,
        'POST',
        '/advise',
        msgspec.json.encode(body),
        timeout_s=TIMEOUT_S,
    )
    if answer.status != 200:
        raise transport.refused(answer, 'advice')
    wire = transport.decoded(answer, _WireAdvised)
    tickets = {
        asked[ids.ExecutorId(name)]: ticket
        for name, ticket in wire.good
        if name in asked
    }
    return Advised(tickets, wire.valid_ms / 1000)
