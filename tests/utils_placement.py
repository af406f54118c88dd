"""Builders of test data for placement."""

import random

from oleanderwood import blame
from oleanderwood import configuration
from oleanderwood import demand
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import placement
from oleanderwood import platform_api
from oleanderwood import task_row
from oleanderwood import task_table
from oleanderwood import worker_room


def make_job(name='j', **fields):
    """Make a job of pool ``p`` and team ``t``."""
    return configuration.Job(
        **{'name': name, 'pool': 'p', 'team': 't', **fields}
    )


def make_urgent_job(name='u', **fields):
    """Make an urgent job."""
    return make_job(name, priority=configuration.Priority.URGENT, **fields)


def make_team(name='t', **fields):
    """Make a team with quotas that don't matter unless given."""
    return configuration.Team(name=name, **fields)


def make_worker(index=0, **fields):
    """Make a worker of pool ``p`` in a rack of its own."""
    values = {
        'vm': ids.VmId(f'w{index}'),
        'pool': ids.PoolId('p'),
        'data_centre': ids.DataCentre('d'),
        'rack': ids.Rack(f'r{index}'),
        'cores': 8.0,
        'memory_gib': 32.0,
        'state': fleet.VmState.SERVING,
    }
    return worker_room.Worker(**{**values, **fields})


def make_pool(**fields):
    """Make pool ``p``, which is to survive the loss of a rack."""
    values = {
        'name': 'p',
        'service': 's',
        'region': 'r',
        'data_centres': ('d',),
        'size': 2,
        'min_up': 1,
        'survives': configuration.Survives.RACK,
    }
    return configuration.Pool(**{**values, **fields})


def make_table(jobs, now_s=0.0):
    """Make the table of the tasks of some jobs."""
    table = task_table.Table()
    task_table.reconcile(table, jobs, now_s)
    return table


def make_entry(row, state=platform_api.TaskState.RUNNING, **fields):
    """Make what a usage report says of a row's copy."""
    values = {
        'task': row.task,
        'job': row.job,
        'worker': row.worker,
        'epoch': row.epoch,
        'state': state,
        'used_cores': row.cores,
        'used_memory_gib': row.memory_gib,
        'run_s': 30.0,
    }
    return platform_api.TaskReport(**{**values, **fields})


def run(table, name='j:0', worker='w0', cores=1.0, memory_gib=1.0):
    """Let a task of the table run on a worker, and give its row."""
    row = table.rows[name]
    table.rows[name] = task_row.TaskRow(
        row.task,
        row.job,
        task_row.Phase.RUNNING,
        ids.Epoch(row.epoch + 1),
        ids.VmId(worker),
        cores=cores,
        memory_gib=memory_gib,
    )
    return table.rows[name]


def place(jobs, workers, table, **options):
    """Decide once, with defaults for what isn't given."""
    return placement.place(
        jobs,
        options.get('teams', [make_team()]),
        workers,
        table.rows,
        options.get('demand', demand.Demand()),
        options.get('now_s', 0.0),
        random.Random(1),
        pools=options.get('pools', [make_pool()]),
        blame=options.get('blame', blame.Blame()),
        **({'policy': options['policy']} if 'policy' in options else {}),
    )


def carry_out(table, decided, now_s=0.0):
    """Note all actions that concern tasks; orders work at once."""
    for action in decided:
        row = task_table.note(table, action, ids.OperationId('o'), now_s)
        if row is not None and row.phase is task_row.Phase.STARTING:
            table.rows[row.task] = task_row.seen_alive(row)
        elif row is not None and row.phase is task_row.Phase.ENDING:
            table.rows[row.task] = task_row.over(row, now_s)
