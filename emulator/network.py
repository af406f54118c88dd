"""The network below the adapter: delays, cuts, lost and late answers."""

import collections.abc
import contextlib
import dataclasses
import enum
import random

import curio

from emulator import virtual
from oleanderwood import errors
from oleanderwood.platform import transport
from oleanderwood import verdict as verdicts

DELAY_S = 0.001
"""One way, between any two places."""

LATE_S = 3.0
"""Time after which a call with the fate ``LATE`` is carried out: after a
takeover, before the leases of the earlier leader have ended."""

LATE_HEADER = 'emulator-late'
"""Marks a call that is carried out late, for the evidence."""

FROZEN_S = 2.5
"""Time for which a caller stands still: longer than its lease."""


class Fate(enum.Enum):
    """What becomes of one call."""

    REQUEST_LOST = 'request-lost'
    ANSWER_LOST = 'answer-lost'
    LATE = 'late'
    REFUSED = 'refused'
    """Answered with 503; nothing was done."""

    KILLED_BEFORE = 'killed-before'
    """Its caller dies before it is sent."""

    KILLED_AFTER = 'killed-after'
    """Its caller dies once it was carried out."""

    FROZEN_AFTER = 'frozen-after'
    """Its caller stands still once it was carried out."""


class Reset(Exception):
    """The connection of a call is reset by whoever should have answered."""


class Harm(enum.Enum):
    """What becomes of the calls on a way that is cut, but not silent."""

    REFUSED = 'refused'
    """Each connection is refused, as where no process listens."""

    RESET = 'reset'
    """Each connection is reset, half of them once the call has arrived."""

    MUTE = 'mute'
    """Calls arrive and are carried out; answers are swallowed."""


Handler = collections.abc.Callable[
    [str, str, str, bytes, dict[str, str]],
    collections.abc.Awaitable[transport.Answer],
]
"""Takes source, method, target, body and headers."""


@dataclasses.dataclass
class Network:
    """All addresses, and what goes wrong between them.

    :ivar homes: the processes that answer at addresses
    :ivar cuts: pairs of a process and an address that don't hear each other
    :ivar harms: the same for cuts that aren't silent
    :ivar dead: processes whose calls go nowhere
    :ivar frozen_until_s: processes that stand still until a time
    :ivar away_s: by how much a process's ways to an address take longer than
        ``DELAY_S``
    :ivar jitter_s: the most that any way takes longer; without the two, what
        servers do at the same pace stays in step
    :ivar lost_share: part of the calls to an address that are carried out
        without an answer
    :ivar late_share: part that is carried out 2 to 12 s later
    :ivar fates: of single calls, by their number
    :ivar struck: gets processes that a fate kills
    :ivar watched: gets the times of the servers' calls, but of watches, by
        their number
    """

    rng: random.Random
    handlers: dict[str, Handler] = dataclasses.field(default_factory=dict)
    homes: dict[str, str] = dataclasses.field(default_factory=dict)
    cuts: set[tuple[str, str]] = dataclasses.field(default_factory=set)
    harms: dict[tuple[str, str], Harm] = dataclasses.field(
        default_factory=dict
    )
    dead: set[str] = dataclasses.field(default_factory=set)
    frozen_until_s: dict[str, float] = dataclasses.field(default_factory=dict)
    away_s: dict[tuple[str, str], float] = dataclasses.field(
        default_factory=dict
    )
    jitter_s: float = 0.0
    lost_share: dict[str, float] = dataclasses.field(default_factory=dict)
    late_share: dict[str, float] = dataclasses.field(default_factory=dict)
    calls: int = 0
    fates: dict[int, Fate] = dataclasses.field(default_factory=dict)
    struck: curio.Queue = dataclasses.field(default_factory=curio.Queue)
    watched: dict[int, float] | None = None


@contextlib.contextmanager
def installed(network: Network) -> collections.abc.Iterator[None]:
    """Let the adapter's calls go through an emulated network."""
    kept = transport.call

    async def call(
        _kept,
        address,
        method,
        target,
        body=b'',
        headers=None,
        *,
        timeout_s,
        whole_s=0.0,
        head_s=0.0,
    ):
        within_s = head_s or timeout_s
        return await _call(
            network, address, method, target, body, headers, within_s
        )

    transport.call = call
    try:
        yield
    finally:
        transport.call = kept


async def _call(network, address, method, target, body, headers, timeout_s):
    source = await virtual.process()
    network.calls += 1
    fate = network.fates.get(network.calls)
    if network.watched is not None and source != virtual.WORLD:
        if 'watch' not in target:
            network.watched[network.calls] = await curio.clock()
    reached = False
    try:
        async with curio.timeout_after(timeout_s):
            await _pass(network, source, address)
            handler = network.handlers.get(address)
            harm = network.harms.get((source, address))
            if handler is None or harm is Harm.REFUSED:
                raise errors.CallFailed(
                    verdicts.Verdict.NOT_RUN, f'connect to {address}: refused'
                )
            if harm is Harm.RESET and network.rng.random() < 0.5:
                raise _reset(address)
            reached = True
            named = {
                key.decode().lower(): value.decode()
                for key, value in headers or []
            }
            arguments = (source, method, target, body, named)
            home = network.homes.get(address, virtual.WORLD)
            before = await virtual.act_for(virtual.WORLD)
            try:
                await virtual.until_awake(home)
                await virtual.act_for(home)
                if fate is None:
                    answer = await carry_out(
                        network, address, handler, arguments
                    )
                else:
                    answer = await _suffer(
                        network, fate, address, handler, arguments
                    )
            finally:
                await virtual.act_for(before)
                await virtual.until_awake(before)
            await _pass(network, source, address)
            harm = network.harms.get((source, address))
            if harm is Harm.MUTE:
                await virtual.forever()
            if harm is not None:
                raise _reset(address)
            return answer
    except Reset as error:
        raise _reset(address) from error
    except curio.TaskTimeout as error:
        if not reached:
            raise errors.CallFailed(
                verdicts.Verdict.NOT_RUN, f'connect to {address}: timeout'
            ) from error
        raise errors.Unanswered(
            verdicts.Verdict.MAY_HAVE_RUN,
            f'{address}: no answer in {timeout_s} s',
        ) from error


def _reset(address: str) -> errors.CallFailed:
    return errors.CallFailed(
        verdicts.Verdict.MAY_HAVE_RUN, f'{address}: connection reset'
    )


async def _pass(network: Network, source: str, address: str) -> None:
    """Go one way; never arrives if the way is cut."""
    late_s = network.away_s.get((source, address), 0.0)
    if network.jitter_s:
        late_s += network.rng.uniform(0.0, network.jitter_s)
    await curio.sleep(DELAY_S + late_s)
    await stand_still(network, source)
    if source in network.dead or (source, address) in network.cuts:
        await virtual.forever()


async def stand_still(network: Network, process: str) -> None:
    """Wait while a process is frozen."""
    while network.frozen_until_s.get(process, 0.0) > (await curio.clock()):
        await curio.sleep(0.05)


async def carry_out(network, address, handler, arguments):
    """Let a call be answered, or lost, or carried out late."""
    drawn = network.rng.random()
    late = network.late_share.get(address, 0.0)
    lost = network.lost_share.get(address, 0.0)
    if drawn < late:
        late_s = network.rng.uniform(2.0, 12.0)
        await carry_out_later(network, late_s, address, arguments)
    answer = await handler(*arguments)
    if drawn < late + lost:
        await virtual.forever()
    return answer


async def carry_out_later(network, after_s, address, arguments):
    """Let a call be carried out some time later, without an answer."""
    await virtual.spawn_in_world(_later, network, after_s, address, arguments)
    await virtual.forever()


async def _suffer(
    network, fate, address, handler, arguments
) -> transport.Answer:
    """Let a call have its fate."""
    source = arguments[0]
    if fate is Fate.REFUSED:
        return transport.Answer(503, b'')
    if fate is Fate.LATE:
        await virtual.spawn_in_world(
            _later, network, LATE_S, address, arguments
        )
    elif fate is Fate.KILLED_BEFORE:
        await network.struck.put(source)
    elif fate is not Fate.REQUEST_LOST:
        answer = await handler(*arguments)
        if fate is Fate.KILLED_AFTER:
            await network.struck.put(source)
        elif fate is Fate.FROZEN_AFTER:
            until_s = await curio.clock() + FROZEN_S
            network.frozen_until_s[source] = until_s
            return answer
    await virtual.forever()


async def _later(network, after_s, address, arguments) -> None:
    """Carry a call out late, by whoever is at the address then."""
    *rest, headers = arguments
    await curio.sleep(after_s)
    handler = network.handlers.get(address)
    if handler is None:
        return
    try:
        await handler(*rest, {**headers, LATE_HEADER: '1'})
    except Reset:
        # Nobody waits for that answer.
        return
