"""What a server process and a leader remember."""

import collections
import collections.abc
import dataclasses
import math
import typing

import curio

from oleanderwood import boot
from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood import ids
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import queues
from oleanderwood.leading import leadership_transfer
from oleanderwood.leading import roles as roles_
from oleanderwood.maintenance import fleet as fleet_
from oleanderwood.maintenance import rolling
from oleanderwood.platform import executors
from oleanderwood.platform import machines as machines_
from oleanderwood.platform import store as stores
from oleanderwood.policy import model as policies
from oleanderwood.pools import entries as entries_
from oleanderwood.pools import fences as fences_
from oleanderwood.pools import late_orders
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import lives
from oleanderwood.pools import slowness
from oleanderwood.pools import workers as workers_
from oleanderwood.tenants import access
from oleanderwood.tenants import model as tenants_
from oleanderwood.web import connections

LEASE_S = 1.5
"""Time of a server's lease: a dead leader is followed after it. Shorter, a
slow store couldn't be told from one that is gone."""

TASK_LEASE_S = 5.0
"""Time of a worker's lease on its tasks. It has to outlive a change of
leader (lease, election, first renewals: about 2.5 s) and delays the restart
of what ran on a worker that fell silent."""


class Wake:
    """A signal to one waiting task; signals before it waits aren't lost."""

    def __init__(self) -> None:
        self._event = curio.Event()
        self.is_set = False

    async def set(self) -> None:
        """Wake the waiting task."""
        self.is_set = True
        await self._event.set()

    async def wait(self, longest_s: float) -> None:
        """Wait for a signal, or for a while."""
        async with curio.ignore_after(longest_s):
            await self._event.wait()
        self._event.clear()
        self.is_set = False


def _no_pools() -> set[ids.ServiceId]:
    return set()


class Due(Wake):
    """A signal that tasks may be startable, and in which pools."""

    def __init__(self) -> None:
        super().__init__()
        self._pools = _no_pools()
        self._all = False

    async def set(self, pool: ids.ServiceId | None = None) -> None:
        """Wake the waiting task for a pool; None: for all of them."""
        if pool is None:
            self._all = True
        else:
            self._pools.add(pool)
        await super().set()

    def take(self) -> collections.abc.Set[ids.ServiceId] | None:
        """Give the pools of the signals so far; None for all pools."""
        pools = None if self._all else self._pools
        self._pools = _no_pools()
        self._all = False
        return pools


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A start that is to be sent to a worker."""

    task: ledgers.Task
    run: ledgers.Run


@dataclasses.dataclass(frozen=True)
class StopOrder:
    """A stop that is to be sent to a worker."""

    task: ids.TaskId
    attempt: int


@dataclasses.dataclass(frozen=True)
class PaceOrder:
    """A pace that is to be sent to a worker."""

    task: ledgers.Task
    percent: int


def _now_s() -> float:
    """Read the clock that is in place by now, an emulated one as well."""
    return clock.now_s()


@dataclasses.dataclass
class Server:
    """One server process.

    :ivar process: one life of this server
    :ivar configuration_proven_s: when the last reading of the configuration
        was sent that told all changes of it
    :ivar configuration_readable: the newest one could be read
    :ivar limits: of tenants, also of those that have gone
    :ivar lease_until_s: by when the server's lease may have ended
    :ivar contact_s: when the last call was sent that the store answered
    :ivar back_s: since when the store answers again, after a gap
    :ivar store_back: wakes, at that moment, those that wait for the store
    :ivar began_s: when the process began
    :ivar led_term: the last term that this process has led, or leads
    :ivar unanswered: executors that it asks for the sake of late orders
    :ivar unanswered_news: wakes who asks them; ``unanswered_untold`` wakes who
        tells other servers of them
    :ivar asked_by_term: the last term whose leader has asked whether it leads
    """

    settings: boot.Settings
    process: str
    store: stores.Store
    roles: roles_.Roles = dataclasses.field(default_factory=roles_.Roles)
    configuration: queues.Configuration | None = None
    configuration_revision: int = 0
    configuration_proven_s: float = -1e9
    configuration_readable: bool = False
    limits: dict[ids.TenantId, tenants_.Limit] = dataclasses.field(
        default_factory=dict
    )
    revoked: access.Revoked = dataclasses.field(default_factory=access.Revoked)
    lease: int = 0
    lease_until_s: float = 0.0
    contact_s: float = -1e9
    back_s: float = -1e9
    store_back: curio.Event = dataclasses.field(default_factory=curio.Event)
    began_s: float = dataclasses.field(default_factory=_now_s)
    led_term: int = 0
    asked_by_term: int = 0
    leader: 'Leader | None' = None
    stopping: bool = False
    unanswered: late_orders.Book = dataclasses.field(
        default_factory=late_orders.Book
    )
    unanswered_news: Wake = dataclasses.field(default_factory=Wake)
    unanswered_untold: Wake = dataclasses.field(default_factory=Wake)
    roles_changed: Wake = dataclasses.field(default_factory=Wake)
    lease_wanted: Wake = dataclasses.field(default_factory=Wake)


@dataclasses.dataclass
class Fleet:
    """What a leader remembers of machines, their moves and their waves.

    :ivar machines: by name, as last listed
    :ivar machines_read_s: when that list was asked for
    :ivar machines_asked_s: when a list was asked for last, read or not
    :ivar missing: workers that the last list lacked
    :ivar waves: by number
    :ivar kept_waves: what an earlier leader wrote of them
    :ivar first_sizes: machines that each pool had before its first turn
    :ivar needs: machines that each pool needs now
    :ivar shortage_told_s: when a lack of machines was last logged
    :ivar crowded: pools in which a long-running task has nowhere to go
    :ivar moves_refused: until when a machine isn't asked to move again
    :ivar announced: when an order was announced, by machine
    :ivar maintained: which of them may be down for maintenance by it
    :ivar turn_after_s: from when a machine may be ordered that an earlier
        leader has ordered
    :ivar none_before_s: the same for all others
    :ivar orders_left: orders that may be sent, as of ``orders_at_s``
    """

    machines: dict[str, fleet_.Machine] = dataclasses.field(
        default_factory=dict
    )
    machines_read_s: float = -1e9
    machines_asked_s: float = -1e9
    missing: set[ids.VmId] = dataclasses.field(default_factory=set)
    waves: dict[int, rolling.Progress] = dataclasses.field(
        default_factory=dict
    )
    kept_waves: dict[str, bytes] = dataclasses.field(default_factory=dict)
    turns: demand.Turns = dataclasses.field(default_factory=demand.Turns)
    first_sizes: dict[ids.ServiceId, int] = dataclasses.field(
        default_factory=dict
    )
    needs: dict[ids.ServiceId, rebalancing.Need] = dataclasses.field(
        default_factory=dict
    )
    shortage_told_s: float = -1e9
    crowded: set[ids.ServiceId] = dataclasses.field(default_factory=set)
    moves_refused: dict[str, float] = dataclasses.field(default_factory=dict)
    announced: dict[str, float] = dataclasses.field(default_factory=dict)
    maintained: set[str] = dataclasses.field(default_factory=set)
    turn_after_s: dict[str, float] = dataclasses.field(default_factory=dict)
    none_before_s: float = 0.0
    orders_left: float = 0.0
    orders_at_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class SeenEnds:
    """Ends of runs that may be acknowledged once changes are written.

    :ivar changes: number of the last of these changes
    :ivar ends: number of the last end, by worker
    """

    changes: int
    ends: dict[ids.VmId, int]


@dataclasses.dataclass
class Leader:
    """The leader of one term.

    :ivar revision: of the leader's key, the condition of all its writes
    :ivar fences: of its orders to workers
    :ivar fences_used_up: an executor was given nearly all that the term has
    :ivar deposed: why it must stop; '' while it leads
    :ivar rosters_unread_until_s: by when the leases have ended of workers that
        a roster names which can't be read
    :ivar unreadable: jobs whose progress in the store can't be read
    :ivar renewed_s: when the call was sent that last renewed the lease under
        which its mark lies
    :ivar writes_under_way: writes of progress that aren't answered yet
    :ivar write_failed: the last such write failed, and that was logged
    :ivar seen_ends: ends that wait for writes, the first first
    :ivar entries_heard_s: when the call was sent that last told of all changes
        of workers' entries
    :ivar workers: each is one life of an executor
    :ivar lives: those of an executor that aren't known to be over, the one
        that was met last comes last
    :ivar ended_lives: lives found to be over, of which nobody was told yet
    :ivar lately_gone: when workers went that are known to be gone
    :ivar arrivals_s: of jobs within what their tenants may count on, lately
    :ivar limits_told_s: when a tenant's limit was last logged, by tenant
    :ivar held_back: steps with runs that would end sooner on another machine
        than their pool has, and until when that counts
    :ivar relocated_s: when runs last left a worker for another, by pool
    :ivar confirmed_until_s: by when servers that don't reach the store
        either have to confirm again that none leads
    """

    server: Server
    term: int
    revision: int
    began_s: float
    ledger: ledgers.Ledger
    calls: executors.Executors = dataclasses.field(
        default_factory=executors.Executors
    )
    machine_calls: machines_.Machines | None = None
    entries_heard_s: float = -math.inf
    workers: dict[ids.VmId, workers_.Worker] = dataclasses.field(
        default_factory=dict
    )
    lives: dict[ids.ExecutorId, dict[ids.VmId, None]] = dataclasses.field(
        default_factory=dict
    )
    ended_lives: list[workers_.Worker] = dataclasses.field(
        default_factory=list
    )
    lately_gone: dict[ids.VmId, float] = dataclasses.field(
        default_factory=dict
    )
    arrivals_s: dict[ids.TenantId, collections.deque[float]] = (
        dataclasses.field(default_factory=dict)
    )
    limits_told_s: dict[ids.TenantId, float] = dataclasses.field(
        default_factory=dict
    )
    orders: dict[ids.VmId, curio.Queue] = dataclasses.field(
        default_factory=dict
    )
    ends_kept: dict[ids.VmId, Wake] = dataclasses.field(default_factory=dict)
    reported_s: dict[ids.VmId, float] = dataclasses.field(default_factory=dict)
    roster_dirty: set[ids.ServiceId] = dataclasses.field(default_factory=set)
    lengths: lengths_.Lengths = dataclasses.field(
        default_factory=lengths_.Lengths
    )
    wary_until_s: float = 0.0
    pulse: leadership_transfer.Pulse = dataclasses.field(
        default_factory=leadership_transfer.Pulse
    )
    fleet: Fleet = dataclasses.field(default_factory=Fleet)
    paces: dict[ids.VmId, slowness.Pace] = dataclasses.field(
        default_factory=dict
    )
    held_back: dict[ledgers.Group, float] = dataclasses.field(
        default_factory=dict
    )
    relocated_s: dict[ids.ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    written: dict[str, int] = dataclasses.field(default_factory=dict)
    policy: policies.Kept = policies.NONE
    policy_revision: int = 0
    deposed: str = ''
    renewed_s: float = -math.inf
    confirmed_until_s: float = 0.0
    rosters_unread_until_s: float = -1e9
    unreadable: set[ids.JobId] = dataclasses.field(default_factory=set)
    cancelled_unknown: set[ids.JobId] = dataclasses.field(default_factory=set)
    entries: entries_.Book = dataclasses.field(default_factory=entries_.Book)
    peer_connections: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )
    writes_under_way: int = 0
    write_failed: bool = False
    seen_ends: collections.deque['SeenEnds'] = dataclasses.field(
        default_factory=collections.deque
    )
    due: Due = dataclasses.field(default_factory=Due)
    unkept: Wake = dataclasses.field(default_factory=Wake)
    unrostered: Wake = dataclasses.field(default_factory=Wake)
    ended: Wake = dataclasses.field(default_factory=Wake)
    fresh_workers: curio.Queue = dataclasses.field(default_factory=curio.Queue)
    fences: fences_.Fences = dataclasses.field(init=False)
    fences_used_up: bool = False

    def __post_init__(self) -> None:
        self.fences = fences_.Fences(self.term)


def lives_of(
    leader: Leader, executor: ids.ExecutorId
) -> list[workers_.Worker]:
    """Give the lives of an executor that aren't known to be over."""
    return [
        leader.workers[name]
        for name in leader.lives.get(executor, ())
        if name in leader.workers
    ]


def worker_of(
    leader: Leader, executor: ids.ExecutorId
) -> workers_.Worker | None:
    """Give the life of an executor that answered last, else the last met."""
    known = lives_of(leader, executor)
    return max(
        known, key=lambda row: (row.clock_at_s, row.met_s), default=None
    )


def fence_of(leader: Leader, worker: workers_.Worker) -> ids.Fence:
    """Give the fence of the next order to a worker."""
    executor = lives.executor(worker.entry.worker)
    return fences_.current(leader.fences, executor)


def fence_number(leader: Leader, worker: workers_.Worker) -> int:
    """Give the number of that fence within its term, for the log."""
    executor = lives.executor(worker.entry.worker)
    return fences_.number(leader.fences, executor)


def raise_fence(leader: Leader, worker: workers_.Worker) -> None:
    """Let a worker's next order have a higher fence than all before."""
    executor = lives.executor(worker.entry.worker)
    fences_.raise_fence(leader.fences, executor)
    if fences_.are_used_up(leader.fences, executor):
        leader.fences_used_up = True


def is_overtaken(
    leader: Leader, worker: workers_.Worker, fence: ids.Fence
) -> bool:
    """Say whether a later call of ours to a worker had a higher fence."""
    executor = lives.executor(worker.entry.worker)
    return fences_.is_overtaken(leader.fences, executor, fence)


def may_act(leader: Leader) -> bool:
    """Say whether this process may still take itself for the leader."""
    now_s = clock.now_s()
    return not leader.deposed and (
        now_s < marked_until_s(leader) or now_s < leader.confirmed_until_s
    )


def holds_lease(leader: Leader) -> bool:
    """Say whether the leader's lease is surely in force.

    Orders to machines need it: no other check guards them.
    """
    return not leader.deposed and clock.now_s() < marked_until_s(leader)


def marked_until_s(leader: Leader) -> float:
    """Give by when the lease may end under which the mark of the leader lies.

    A lease that the server has taken since says nothing of who leads: another
    may have been elected while it had none.
    """
    server = leader.server
    roles = server.roles
    ours = roles.alive_process == server.process
    if not server.lease or not ours or roles.alive_lease != server.lease:
        return -math.inf
    return server.lease_until_s


async def depose(leader: Leader, why: str) -> None:
    """End the leader's term as far as this process is concerned."""
    if not leader.deposed:
        leader.deposed = why
        await leader.ended.set()


def task_lease_s(settings: boot.Settings) -> float:
    """Give the time of the leases that workers get."""
    return min(TASK_LEASE_S, settings.max_task_lease_ms / 1000)


def known_tenants(leader: Leader) -> dict[ids.TenantId, tenants_.Tenant]:
    """Give the tenants of the newest configuration, by name."""
    configuration = leader.server.configuration
    if configuration is None or configuration.tenants is None:
        return {}
    return configuration.tenants.by_name


def weights(leader: Leader) -> dict[ids.TenantId, float]:
    """Give the weights of the tenants in the newest configuration."""
    rows = known_tenants(leader).values()
    return {tenant.name: tenant.weight for tenant in rows}


def known_queues(leader: Leader) -> dict[str, queues.Queue]:
    """Give the queues of the newest configuration."""
    configuration = leader.server.configuration
    return queues.by_name(configuration) if configuration else {}


def dump(server: Server) -> dict[str, typing.Any]:
    """Give the process's state as plain data."""
    now_s = clock.now_s()
    roles = server.roles
    value: dict[str, typing.Any] = {
        'name': server.settings.name,
        'process': server.process,
        'stopping': server.stopping,
        'lease_left_s': round(server.lease_until_s - now_s, 2),
        'contact_age_s': round(now_s - server.contact_s, 2),
        'configuration_age_s': round(now_s - server.configuration_proven_s, 2),
        'leader': roles.leader.holder if roles.leader else None,
        'term': roles.leader.term if roles.leader else 0,
        'servers': sorted(row.name for row in roles.servers.values()),
    }
    if server.configuration is not None:
        value['configuration_version'] = server.configuration.version
    if server.leader is not None:
        value['leading'] = _dump_leader(server.leader, now_s)
    return value


def _dump_leader(leader: Leader, now_s: float) -> dict[str, typing.Any]:
    return {
        'term': leader.term,
        'jobs': len(leader.ledger.entries),
        'groups_waiting': len(leader.ledger.open_groups),
        'unwritten': len(leader.ledger.dirty),
        'policy': leader.policy.number,
        'timers_late_s': round(leader.pulse.late_s, 3),
        'workers': {
            name: {
                'service': worker.entry.service,
                'fenced': worker.fenced,
                'silent': worker.silent_since_s is not None,
                'closed': worker.closed,
                'lease_left_s': round(worker.lease_end_s - now_s, 2),
                'runs': {
                    task: [row.run.attempt, row.run.phase.value]
                    for task, row in worker.runs.items()
                    if row.run is not None
                },
            }
            for name, worker in leader.workers.items()
        },
        'waves': {
            number: {
                'begun': len(progress.begun),
                'down': sorted(progress.down),
                'of': len(progress.wave.machines),
            }
            for number, progress in leader.fleet.waves.items()
        },
    }
