"""In-memory state of a server process and of a leader."""

import collections
import collections.abc
import dataclasses
import math
import secrets
import typing

import curio

from oleanderwood.admission import controller as controllers
from oleanderwood.admission import figures as figures_
from oleanderwood.admission import gate as gates
from oleanderwood import boot
from oleanderwood.capacity import demand
from oleanderwood.capacity import rebalancing
from oleanderwood import clock
from oleanderwood import ids
from oleanderwood.jobs import crashes as crashes_
from oleanderwood.jobs import ledger as ledgers
from oleanderwood.jobs import queues
from oleanderwood.leading import leadership_transfer
from oleanderwood.leading import roles as roles_
from oleanderwood.maintenance import fleet as fleet_
from oleanderwood.maintenance import relocation
from oleanderwood.maintenance import rolling
from oleanderwood.platform import executors
from oleanderwood.platform import machines as machines_
from oleanderwood.platform import store as stores
from oleanderwood.policy import model as policies
from oleanderwood.pools import advice_order
from oleanderwood.pools import blame
from oleanderwood.pools import entries as entries_
from oleanderwood.pools import fences as fences_
from oleanderwood.pools import incarnations
from oleanderwood.pools import late_orders
from oleanderwood.pools import lengths as lengths_
from oleanderwood.pools import slowness
from oleanderwood.pools import worker_speed
from oleanderwood.pools import workers as workers_
from oleanderwood.tenants import access
from oleanderwood.tenants import model as tenants_
from oleanderwood.tenants import usage as usage_
from oleanderwood.web import connections

SERVER_LEASE_S = 1.5
"""Duration of a server's lease in the store, in seconds; another server can
take over from a dead leader once it has expired. With a shorter lease, a slow
store could not be distinguished from an unreachable one."""

TASK_LEASE_S = 5.0
"""Duration of a worker's lease on its tasks, in seconds. It must outlive a
change of leader (lease expiry, election and first renewals take about 2.5 s),
and it delays the restart of tasks whose worker stopped answering."""

SALT_BYTES = 16
"""Size of the key by which a term samples jobs; callers must not be able to
find ids that pass."""


class Signal:
    """A signal to one waiting task; it is not lost if set before the wait."""

    def __init__(self) -> None:
        self._event = curio.Event()
        self.is_set = False

    async def set(self) -> None:
        """Wake the waiting task."""
        self.is_set = True
        await self._event.set()

    async def wait(self, max_s: float) -> None:
        """Wait for the signal, at most ``max_s`` seconds, and clear it."""
        async with curio.ignore_after(max_s):
            await self._event.wait()
        self._event.clear()
        self.is_set = False


def _no_pools() -> set[ids.ServiceId]:
    return set()


class PoolSignal(Signal):
    """A signal that tasks may be startable, with the pools concerned."""

    def __init__(self) -> None:
        super().__init__()
        self._pools = _no_pools()
        self._all = False

    async def set(self, pool: ids.ServiceId | None = None) -> None:
        """Wake the waiting task for one pool, or for all pools if None."""
        if pool is None:
            self._all = True
        else:
            self._pools.add(pool)
        await super().set()

    def take(self) -> collections.abc.Set[ids.ServiceId] | None:
        """Return and clear the signalled pools; None means all pools."""
        pools = None if self._all else self._pools
        self._pools = _no_pools()
        self._all = False
        return pools


@dataclasses.dataclass(frozen=True)
class StartOrder:
    """A start order to be sent to a worker."""

    task: ledgers.Task
    run: ledgers.Run


@dataclasses.dataclass(frozen=True)
class StopOrder:
    """A stop order to be sent to a worker."""

    task: ids.TaskId
    attempt: int


@dataclasses.dataclass(frozen=True)
class PaceOrder:
    """A change of a task's pace to be sent to a worker."""

    task: ledgers.Task
    percent: int


def _now_s() -> float:
    """Read the clock at call time, as tests may replace it after import."""
    return clock.now_s()


@dataclasses.dataclass
class Server:
    """State of one server process.

    :ivar process: id of this incarnation of the server
    :ivar configuration_revision: revision of the store at which
        ``configuration`` was written; 0 if none was decoded yet
    :ivar configuration_confirmed_s: send time of the last read of the
        configuration that is known to include all its changes
    :ivar configuration_readable: whether the newest configuration could be
        decoded
    :ivar limits: limits by tenant, including tenants that were removed
    :ivar lease: id of the server's lease in the store; 0 if it has none
    :ivar lease_until_s: time by which the server's lease may have expired
    :ivar store_contact_s: send time of the latest call that the store answered
    :ivar store_back_since_s: time at which the store answered again after an
        outage
    :ivar store_back: set at that time, for tasks that wait for the store
    :ivar began_s: start time of the process
    :ivar last_led_term: the last term that this process led or is leading
    :ivar leader: state of the term that this process leads; None if it does
        not lead
    :ivar unstored_crashes: crashes that the store may lack of the last term
        that this process led, by task
    :ivar late_order_executors: executors to be called because an order to them
        may still arrive late
    :ivar late_orders_changed: wakes the task that calls these executors
    :ivar late_orders_to_relay: wakes the task that reports them to other
        servers
    :ivar max_asking_term: highest term whose leader asked this server whether
        it leads
    :ivar short_of_memory_until_s: time until which the leader reserves memory
        for small jobs as well
    :ivar gate: the newest figures by which jobs are admitted
    """

    settings: boot.Settings
    process: str
    store: stores.Store
    roles: roles_.Roles = dataclasses.field(default_factory=roles_.Roles)
    configuration: queues.Configuration | None = None
    configuration_revision: int = 0
    configuration_confirmed_s: float = -1e9
    configuration_readable: bool = False
    limits: dict[ids.TenantId, tenants_.Limit] = dataclasses.field(
        default_factory=dict
    )
    revoked: access.Revoked = dataclasses.field(default_factory=access.Revoked)
    lease: int = 0
    lease_until_s: float = 0.0
    store_contact_s: float = -1e9
    store_back_since_s: float = -1e9
    store_back: curio.Event = dataclasses.field(default_factory=curio.Event)
    began_s: float = dataclasses.field(default_factory=_now_s)
    last_led_term: int = 0
    max_asking_term: int = 0
    short_of_memory_until_s: float = -math.inf
    gate: gates.Gate = dataclasses.field(default_factory=gates.Gate)
    leader: 'Leader | None' = None
    unstored_crashes: crashes_.CrashesByTask = dataclasses.field(
        default_factory=dict
    )
    stopping: bool = False
    late_order_executors: late_orders.UnansweredOrders = dataclasses.field(
        default_factory=late_orders.UnansweredOrders
    )
    late_orders_changed: Signal = dataclasses.field(default_factory=Signal)
    late_orders_to_relay: Signal = dataclasses.field(default_factory=Signal)
    roles_changed: Signal = dataclasses.field(default_factory=Signal)
    lease_wanted: Signal = dataclasses.field(default_factory=Signal)


@dataclasses.dataclass
class Fleet:
    """What a leader knows of machines, their moves and maintenance waves.

    :ivar machines: machines by name, as last listed
    :ivar machines_read_s: send time of the request that returned this list
    :ivar machines_asked_s: send time of the latest request for a list,
        successful or not
    :ivar missing_workers: workers that the last list did not contain
    :ivar waves: maintenance waves by number
    :ivar stored_waves: encoded progress of waves, as stored by earlier leaders
    :ivar arrival_history: arrivals of jobs by pool, from which bursts of
        demand are predicted
    :ivar first_sizes: number of machines of each pool before the first
        announced order
    :ivar needs: number of machines that each pool needs now
    :ivar grants: number of machines that each pool gets; empty while the fleet
        suffices for all pools, or where pools don't share it by worth
    :ivar contention_logged_s: time at which grants were last logged
    :ivar shortage_logged_s: time at which a shortage of machines was last
        logged
    :ivar logged_lacks: labels that each pool lacked when this was last logged
    :ivar relocations: by step, for long-running tasks that have to leave
    :ivar move_retry_after_s: time until which a machine is not asked to move
        again
    :ivar moving_until_s: workers that accept no new tasks, as their machine
        moves or may move, with the time until which that counts
    :ivar announced: time at which an order was announced or last under way,
        by machine
    :ivar maintained: announced machines that the order may take down for
        maintenance
    :ivar inherited_maintenance: the machines that a leader of an earlier
        release announced for maintenance
    :ivar order_after_s: time from which this leader may send an order to a
        machine for which an earlier leader announced one, by machine
    :ivar no_order_before_s: time from which this leader may send orders to
        machines that are not in ``order_after_s``; 0 unless the announcements
        of earlier leaders could not be decoded
    :ivar orders_left: number of orders that may still be sent, as of
        ``orders_left_as_of_s``
    """

    machines: dict[str, fleet_.Machine] = dataclasses.field(
        default_factory=dict
    )
    machines_read_s: float = -1e9
    machines_asked_s: float = -1e9
    missing_workers: set[ids.VmId] = dataclasses.field(default_factory=set)
    waves: dict[int, rolling.Progress] = dataclasses.field(
        default_factory=dict
    )
    stored_waves: dict[str, bytes] = dataclasses.field(default_factory=dict)
    arrival_history: demand.ArrivalHistory = dataclasses.field(
        default_factory=demand.ArrivalHistory
    )
    first_sizes: dict[ids.ServiceId, int] = dataclasses.field(
        default_factory=dict
    )
    needs: dict[ids.ServiceId, rebalancing.Need] = dataclasses.field(
        default_factory=dict
    )
    grants: dict[ids.ServiceId, int] = dataclasses.field(default_factory=dict)
    contention_logged_s: float = -1e9
    shortage_logged_s: float = -1e9
    logged_lacks: dict[ids.ServiceId, list[str]] = dataclasses.field(
        default_factory=dict
    )
    relocations: dict[ledgers.Group, relocation.Relocation] = (
        dataclasses.field(default_factory=dict)
    )
    move_retry_after_s: dict[str, float] = dataclasses.field(
        default_factory=dict
    )
    moving_until_s: dict[ids.VmId, float] = dataclasses.field(
        default_factory=dict
    )
    announced: dict[str, float] = dataclasses.field(default_factory=dict)
    maintained: set[str] = dataclasses.field(default_factory=set)
    inherited_maintenance: frozenset[str] = frozenset()
    order_after_s: dict[str, float] = dataclasses.field(default_factory=dict)
    no_order_before_s: float = 0.0
    orders_left: float = 0.0
    orders_left_as_of_s: float = 0.0


@dataclasses.dataclass(frozen=True)
class Reservation:
    """Memory that is kept for a job until it arrives."""

    size_bytes: int
    until_s: float


@dataclasses.dataclass(frozen=True)
class SeenEnds:
    """Ends of runs to be acknowledged once certain changes are stored.

    :ivar changes: number of the last of these changes
    :ivar ends: number of the last end, by worker
    """

    changes: int
    ends: dict[ids.VmId, int]


@dataclasses.dataclass
class Leader:
    """State of the leader of one term.

    :ivar revision: revision of the leader key; condition of all its writes
    :ivar fences: fences of its orders to workers
    :ivar fences_exhausted: whether an executor has received nearly all fences
        of this term
    :ivar deposed: reason why the leader must stop; empty while it leads
    :ivar entries: workers' entries that the leader does not use
    :ivar orders: orders to be sent to each worker; None ends the loop that
        sends them
    :ivar ends_stored: set when more ends of a worker's runs are stored, and
        can be acknowledged to it
    :ivar last_report_s: send time of the call answered by the newest report
        that was processed, by worker
    :ivar unwritten_worker_lists: pools whose worker list has to be written
    :ivar lossy_until_s: time until which calls to workers count as lossy,
        since one got no answer
    :ivar paces: measured speed by worker
    :ivar written_revisions: last known revision of each key that the leader
        writes
    :ivar new_workers: registered workers whose loops have not been started
    :ivar worker_lists_unread_until_s: time by which the leases have expired of
        the workers whose stored worker list could not be decoded
    :ivar early_cancels: jobs whose cancel was received before the job itself,
        with the time at which it was, the earliest first
    :ivar reservations: memory that is kept for jobs which servers are about
        to write
    :ivar unreadable_jobs: jobs whose stored progress could not be decoded
    :ivar lease_renewed_s: send time of the latest renewal of the lease that
        the leader's liveness key is attached to
    :ivar writes_in_flight: number of progress writes without an answer yet
    :ivar write_failed: whether the last progress write failed, which was
        logged
    :ivar seen_ends: ends that wait for writes, oldest first
    :ivar entries_confirmed_s: send time of the latest call that confirmed that
        all changes of the workers' entries are known
    :ivar workers: workers by id; each is one incarnation of an executor
    :ivar incarnations: incarnations of each executor that are not known to
        have ended, in the order of registration
    :ivar ended_incarnations: incarnations found to have ended that have not
        been reported yet
    :ivar recently_gone: how each worker that failed recently went down
    :ivar arrivals_s: recent arrival times, by tenant, of jobs within the rate
        that the tenant's weight allows
    :ivar limits_logged_s: time at which a tenant's limit was last logged
    :ivar step_times: times of recently ended tasks, by step
    :ivar unevenness_logged_s: time at which a pool's slower workers were last
        logged
    :ivar usage: what tenants have used recently; measured where the order of
        bursts is in force, and empty at first
    :ivar bursts_logged_s: time at which a pool's burst was last logged
    :ivar starved_until_s: steps whose runs are starved of CPU and would finish
        sooner on another machine than their pool has, with the time until
        which this counts
    :ivar last_relocation_s: time at which runs were last moved between
        workers, by pool
    :ivar confirmed_until_s: time by which servers that cannot reach the store
        either must confirm again that no other server leads
    :ivar admission: state of the admission control
    :ivar advice_turns: which queues were asked about last
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
    entries_confirmed_s: float = -math.inf
    workers: dict[ids.VmId, workers_.Worker] = dataclasses.field(
        default_factory=dict
    )
    incarnations: dict[ids.ExecutorId, dict[ids.VmId, None]] = (
        dataclasses.field(default_factory=dict)
    )
    ended_incarnations: list[workers_.Worker] = dataclasses.field(
        default_factory=list
    )
    recently_gone: dict[ids.VmId, blame.Departure] = dataclasses.field(
        default_factory=dict
    )
    arrivals_s: dict[ids.TenantId, collections.deque[float]] = (
        dataclasses.field(default_factory=dict)
    )
    limits_logged_s: dict[ids.TenantId, float] = dataclasses.field(
        default_factory=dict
    )
    usage: usage_.Usage = dataclasses.field(default_factory=usage_.Usage)
    bursts_logged_s: dict[ids.ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    orders: dict[ids.VmId, curio.Queue] = dataclasses.field(
        default_factory=dict
    )
    ends_stored: dict[ids.VmId, Signal] = dataclasses.field(
        default_factory=dict
    )
    last_report_s: dict[ids.VmId, float] = dataclasses.field(
        default_factory=dict
    )
    unwritten_worker_lists: set[ids.ServiceId] = dataclasses.field(
        default_factory=set
    )
    lengths: lengths_.Lengths = dataclasses.field(
        default_factory=lengths_.Lengths
    )
    lossy_until_s: float = 0.0
    timer_lateness: leadership_transfer.TimerLateness = dataclasses.field(
        default_factory=leadership_transfer.TimerLateness
    )
    fleet: Fleet = dataclasses.field(default_factory=Fleet)
    speeds: dict[ids.VmId, slowness.Speed] = dataclasses.field(
        default_factory=dict
    )
    step_times: worker_speed.StepTimes = dataclasses.field(
        default_factory=worker_speed.StepTimes
    )
    unevenness_logged_s: dict[ids.ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    starved_until_s: dict[ledgers.Group, float] = dataclasses.field(
        default_factory=dict
    )
    last_relocation_s: dict[ids.ServiceId, float] = dataclasses.field(
        default_factory=dict
    )
    written_revisions: dict[str, int] = dataclasses.field(default_factory=dict)
    policy: policies.StoredPolicy = policies.NONE
    policy_revision: int = 0
    deposed: str = ''
    lease_renewed_s: float = -math.inf
    confirmed_until_s: float = 0.0
    worker_lists_unread_until_s: float = -1e9
    reservations: dict[ids.JobId, Reservation] = dataclasses.field(
        default_factory=dict
    )
    unreadable_jobs: set[ids.JobId] = dataclasses.field(default_factory=set)
    early_cancels: dict[ids.JobId, float] = dataclasses.field(
        default_factory=dict
    )
    entries: entries_.UnusedEntries = dataclasses.field(
        default_factory=entries_.UnusedEntries
    )
    peer_connections: connections.Connections = dataclasses.field(
        default_factory=connections.Connections
    )
    writes_in_flight: int = 0
    write_failed: bool = False
    seen_ends: collections.deque['SeenEnds'] = dataclasses.field(
        default_factory=collections.deque
    )
    placement_due: PoolSignal = dataclasses.field(default_factory=PoolSignal)
    progress_changed: Signal = dataclasses.field(default_factory=Signal)
    worker_lists_changed: Signal = dataclasses.field(default_factory=Signal)
    ended: Signal = dataclasses.field(default_factory=Signal)
    new_workers: curio.Queue = dataclasses.field(default_factory=curio.Queue)
    advice_turns: advice_order.Turns = dataclasses.field(
        default_factory=advice_order.Turns
    )
    fences: fences_.Fences = dataclasses.field(init=False)
    fences_exhausted: bool = False
    admission: controllers.Controller = dataclasses.field(init=False)

    def __post_init__(self) -> None:
        self.fences = fences_.Fences(self.term)
        self.admission = controllers.Controller(
            self.term, secrets.token_hex(SALT_BYTES)
        )


def incarnations_of(
    leader: Leader, executor: ids.ExecutorId
) -> list[workers_.Worker]:
    """Return the incarnations of an executor not known to have ended."""
    return [
        leader.workers[name]
        for name in leader.incarnations.get(executor, ())
        if name in leader.workers
    ]


def latest_incarnation(
    leader: Leader, executor: ids.ExecutorId
) -> workers_.Worker | None:
    """Return the incarnation of an executor that answered last.

    If none has answered, return the one registered last; None if there is
    none.
    """
    known = incarnations_of(leader, executor)
    return max(
        known,
        key=lambda row: (row.clock_at_s, row.first_contact_s),
        default=None,
    )


def fence_of(leader: Leader, worker: workers_.Worker) -> ids.Fence:
    """Return the fence of the next order to a worker."""
    executor = incarnations.executor_of(worker.entry.worker)
    return fences_.current(leader.fences, executor)


def fence_number(leader: Leader, worker: workers_.Worker) -> int:
    """Return the number within the term of ``fence_of()``, for the log."""
    executor = incarnations.executor_of(worker.entry.worker)
    return fences_.number(leader.fences, executor)


def raise_fence(leader: Leader, worker: workers_.Worker) -> None:
    """Raise the fence of a worker's next order above all earlier ones."""
    executor = incarnations.executor_of(worker.entry.worker)
    fences_.raise_fence(leader.fences, executor)
    if fences_.are_used_up(leader.fences, executor):
        leader.fences_exhausted = True


def is_superseded(
    leader: Leader, worker: workers_.Worker, fence: ids.Fence
) -> bool:
    """Return whether a later call to the worker had a higher fence."""
    executor = incarnations.executor_of(worker.entry.worker)
    return fences_.is_superseded(leader.fences, executor, fence)


def may_act(leader: Leader) -> bool:
    """Return whether this process may still act as the leader."""
    now_s = clock.now_s()
    return not leader.deposed and (
        now_s < leader_lease_until_s(leader)
        or now_s < leader.confirmed_until_s
    )


def holds_lease(leader: Leader) -> bool:
    """Return whether the leader's lease is certainly still valid.

    Orders to machines require it, as nothing else protects machines from
    orders of a previous leader.
    """
    return not leader.deposed and clock.now_s() < leader_lease_until_s(leader)


def leader_lease_until_s(leader: Leader) -> float:
    """Return when the lease of the leader's liveness key may expire.

    Return -inf if the server has no lease, or if the liveness key is not known
    to belong to this process and to be attached to the server's current lease.
    A lease that the server obtained later says nothing about who leads:
    another server may have been elected while it had none.
    """
    server = leader.server
    roles = server.roles
    ours = roles.alive_process == server.process
    if not server.lease or not ours or roles.alive_lease != server.lease:
        return -math.inf
    return server.lease_until_s


async def depose(leader: Leader, why: str) -> None:
    """End the leader's term in this process."""
    if not leader.deposed:
        leader.deposed = why
        await leader.ended.set()


def task_lease_s(settings: boot.Settings) -> float:
    """Return the duration of the leases given to workers, in seconds."""
    return min(TASK_LEASE_S, settings.max_task_lease_ms / 1000)


def known_tenants(leader: Leader) -> dict[ids.TenantId, tenants_.Tenant]:
    """Return the tenants of the newest configuration, by name."""
    configuration = leader.server.configuration
    if configuration is None or configuration.tenants is None:
        return {}
    return configuration.tenants.by_name


def tenant_weights(leader: Leader) -> dict[ids.TenantId, float]:
    """Return the weight of each tenant in the newest configuration."""
    rows = known_tenants(leader).values()
    return {tenant.name: tenant.weight for tenant in rows}


def known_queues(leader: Leader) -> dict[str, queues.Queue]:
    """Return the queues of the newest configuration, by name."""
    configuration = leader.server.configuration
    return queues.by_name(configuration) if configuration else {}


def dump(server: Server) -> dict[str, typing.Any]:
    """Return the state of the process as plain data."""
    now_s = clock.now_s()
    roles = server.roles
    value: dict[str, typing.Any] = {
        'name': server.settings.name,
        'process': server.process,
        'stopping': server.stopping,
        'lease_left_s': round(server.lease_until_s - now_s, 2),
        'contact_age_s': round(now_s - server.store_contact_s, 2),
        'configuration_age_s': round(
            now_s - server.configuration_confirmed_s, 2
        ),
        'leader': roles.leader.holder if roles.leader else None,
        'term': roles.leader.term if roles.leader else 0,
        'servers': sorted(row.name for row in roles.servers.values()),
    }
    if server.configuration is not None:
        value['configuration_version'] = server.configuration.version
    admission = gates.in_force(server.gate, now_s)
    if admission is not None:
        value['admission'] = _dump_admission(admission)
    if server.leader is not None:
        value['leading'] = _dump_leader(server.leader, now_s)
    return value


def _dump_admission(figures: figures_.Figures) -> dict[str, typing.Any]:
    return {
        'term': figures.term,
        'number': figures.number,
        'pools': {
            name: {
                'wait_s': pool.wait_s,
                'holder': pool.holder,
                'smallest_share': figures_.smallest_share(pool),
            }
            for name, pool in figures.pools.items()
        },
    }


def _dump_leader(leader: Leader, now_s: float) -> dict[str, typing.Any]:
    return {
        'term': leader.term,
        'jobs': len(leader.ledger.entries),
        'groups_waiting': len(leader.ledger.open_groups),
        'unwritten': len(leader.ledger.dirty),
        'open_bytes': leader.ledger.open_bytes,
        'claimed_bytes': leader.ledger.claimed_bytes,
        'policy': leader.policy.number,
        'timers_late_s': round(leader.timer_lateness.late_s, 3),
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
                'in_doubt': sorted(
                    name
                    for name, order in progress.down.items()
                    if not order.taken
                ),
                'of': len(progress.wave.machines),
            }
            for number, progress in leader.fleet.waves.items()
        },
    }
