"""Metrics of a server, returned by its ``/metrics`` endpoint."""

import prometheus_client

REGISTRY = prometheus_client.CollectorRegistry()

LATENCY_BUCKETS_S = (0.005, 0.01, 0.02, 0.05, 0.1, 0.2, 0.5, 1.0, 2.0, 5.0)
"""Callers wait up to 3 s; an answer under light load takes 10 ms."""

JOB_BUCKETS_S = (0.5, 1.0, 2.0, 3.0, 5.0, 8.0, 13.0, 21.0, 60.0)
"""Objectives of current users are between 2 and 15 s."""

CALLER_SECONDS = prometheus_client.Histogram(
    'oleander_server_caller_seconds',
    'Time from a request of a caller to its answer.',
    ('kind', 'status'),
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)

DENIED = prometheus_client.Counter(
    'oleander_server_denied_total',
    'Calls refused for want of a good key, by what was wrong.',
    ('why',),
    registry=REGISTRY,
)

PASSED_ON = prometheus_client.Counter(
    'oleander_server_passed_on_total',
    'Calls with keys that another server was asked to judge, by outcome.',
    ('outcome',),
    registry=REGISTRY,
)

TOMBSTONES = prometheus_client.Counter(
    'oleander_server_tombstones_total',
    'Cancels of jobs that were not stored yet: tombstones written, refused as '
    'there were too many, and jobs that a tombstone stopped.',
    ('outcome',),
    registry=REGISTRY,
)

JOB_SECONDS = prometheus_client.Histogram(
    'oleander_server_job_seconds',
    'Time from taking a job in until its last state is kept.',
    ('state',),
    buckets=JOB_BUCKETS_S,
    registry=REGISTRY,
)

STARTS = prometheus_client.Counter(
    'oleander_server_starts_total',
    'Orders to start a task, by outcome.',
    ('outcome',),
    registry=REGISTRY,
)

SLOWER_STARTS = prometheus_client.Counter(
    'oleander_server_slower_starts_total',
    'Starts decided on workers slower than their pool, by speed class.',
    ('speed_class',),
    registry=REGISTRY,
)

BURST_PASSES = prometheus_client.Counter(
    'oleander_server_burst_passes_total',
    'Scheduling passes in which a pool had more work than it could start, and '
    'jobs that can end in time were chosen.',
    ('pool',),
    registry=REGISTRY,
)

ENDS = prometheus_client.Counter(
    'oleander_server_ends_total',
    'Ends of runs and what else reports told of them.',
    ('how',),
    registry=REGISTRY,
)

CRASH_LOOPS = prometheus_client.Counter(
    'oleander_server_crash_loops_total',
    'Crashes of workers under tasks that are known to crash them and are '
    'started again after a pause.',
    registry=REGISTRY,
)

SUSPICIONS = prometheus_client.Counter(
    'oleander_server_suspicions_total',
    'Tasks that a crash of their worker was put down to, by what became of '
    'their job.',
    ('state',),
    registry=REGISTRY,
)

TERMS = prometheus_client.Counter(
    'oleander_server_terms_total',
    'Terms that this server began to lead.',
    registry=REGISTRY,
)

ADVICE_WAITING = prometheus_client.Gauge(
    'oleander_server_advice_waiting',
    'Steps that wait for a first answer of the advice, by how near their '
    'start is.',
    ('nearness',),
    registry=REGISTRY,
)

ADVICE_WAIT_SECONDS = prometheus_client.Gauge(
    'oleander_server_advice_wait_seconds',
    'Longest time for which a step that could start now has waited for a '
    'first answer of the advice.',
    registry=REGISTRY,
)

JOB_MEMORY_LEFT = prometheus_client.Gauge(
    'oleander_server_job_memory_left',
    'Part of the memory for jobs that is left, as this leader last answered.',
    registry=REGISTRY,
)

TURN_SECONDS = prometheus_client.Histogram(
    'oleander_server_turn_seconds',
    'Time for which a computation gave no other coroutine a turn, by what was '
    'computed. Beyond 1.5 s, the lease of the server ends.',
    ('work',),
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)

MACHINE_ORDERS = prometheus_client.Counter(
    'oleander_server_machine_orders_total',
    'Orders for machines, by kind and outcome.',
    ('kind', 'outcome'),
    registry=REGISTRY,
)

LATE_WAVES = prometheus_client.Counter(
    'oleander_server_late_waves_total',
    'Waves of maintenance whose time was over before all their machines had '
    'gone down.',
    registry=REGISTRY,
)

GRANTED_MACHINES = prometheus_client.Gauge(
    'oleander_server_granted_machines',
    'Machines that a pool gets while the fleet does not suffice for all.',
    ('pool',),
    registry=REGISTRY,
)

ADMISSION = prometheus_client.Counter(
    'oleander_server_admission_total',
    'Jobs for limited pools that callers handed in, by outcome.',
    ('outcome',),
    registry=REGISTRY,
)

ADMISSION_SHARE = prometheus_client.Gauge(
    'oleander_server_admission_share',
    "Smallest share of a tenant's jobs that the leader admits, by pool.",
    ('pool',),
    registry=REGISTRY,
)

CALLS = prometheus_client.Histogram(
    'oleander_server_call_seconds',
    'Time of calls to the platform and to other servers, by outcome.',
    ('outcome',),
    buckets=LATENCY_BUCKETS_S,
    registry=REGISTRY,
)

ENTRIES_REFUSED = prometheus_client.Counter(
    'oleander_server_entries_refused_total',
    "Readings of workers' entries that can't be used, by what is wrong.",
    ('why',),
    registry=REGISTRY,
)

VALUES_REFUSED = prometheus_client.Counter(
    'oleander_server_values_refused_total',
    'Values below a followed prefix of the store that were passed over, as '
    'they could not be applied.',
    ('prefix',),
    registry=REGISTRY,
)

LOG_DROPPED = prometheus_client.Counter(
    'oleander_server_log_dropped_total',
    'Log lines that were not written.',
    registry=REGISTRY,
)
