"""The advice service: which executors may run a step, and their tickets."""

import collections
import dataclasses
import json
import zlib

import curio

from oleanderwood import clock
from oleanderwood.platform import transport

DECIDE_S = 0.1
PERIOD_S = 0.02
"""Time that a question takes, and more for each executor that it names."""

VALID_S = 2.0
"""Time for which a ticket is taken."""

MOST_WAITING = 32
"""Questions of one machine that may wait."""

FIELDS = {
    'decide_ms': DECIDE_S * 1000,
    'period_ms': PERIOD_S * 1000,
    'valid_ms': VALID_S * 1000,
}
"""What the operator's configuration tells of it."""


@dataclasses.dataclass(frozen=True)
class Ticket:
    """What a start of a step on one executor has to carry."""

    step: str
    executor: str
    until_s: float


@dataclasses.dataclass(eq=False)
class Service:
    """The service.

    :ivar waiting: questions in hand, by the machine that asks
    """

    tickets: dict[str, Ticket] = dataclasses.field(default_factory=dict)
    waiting: collections.Counter = dataclasses.field(
        default_factory=collections.Counter
    )
    turns: dict[str, curio.Lock] = dataclasses.field(default_factory=dict)


def is_good(step: str, executor: str) -> bool:
    """Say whether an executor may run a step: two in three, by its machine.

    One whose entry somebody else has written is of no machine.
    """
    number = executor.split('-')[1][1:]
    if not number.isdecimal():
        return False
    return (int(number) + zlib.crc32(step.encode())) % 3 != 0


def is_valid(service: Service, name: str, task: str, executor: str) -> bool:
    """Say whether a start on an executor carries the ticket it needs."""
    ticket = service.tickets.get(name)
    return (
        ticket is not None
        and ticket.step == task.rpartition('.')[0]
        and ticket.executor == executor
        and clock.now_s() <= ticket.until_s
    )


def make_handler(service: Service):
    """Make the handler of the service's address."""

    async def handle(source, method, target, body, headers):
        if service.waiting[source] > MOST_WAITING:
            return transport.Answer(429, b'')
        service.waiting[source] += 1
        try:
            async with service.turns.setdefault(source, curio.Lock()):
                return await _advise(service, json.loads(body))
        finally:
            service.waiting[source] -= 1

    return handle


async def _advise(service: Service, asked: dict) -> transport.Answer:
    step, workers = asked['step'], asked['workers']
    if len(workers) > 100:
        return transport.Answer(400, b'')
    await curio.sleep(DECIDE_S + PERIOD_S * len(workers))
    until_s = clock.now_s() + VALID_S
    good = []
    for worker in workers:
        if is_good(step, worker):
            name = f't{len(service.tickets)}'
            service.tickets[name] = Ticket(step, worker, until_s)
            good.append([worker, name])
    value = {'good': good, 'valid_ms': VALID_S * 1000}
    return transport.Answer(200, json.dumps(value).encode())
