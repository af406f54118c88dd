"""Tests of placement."""

import random

from oleanderwood import configuration
from oleanderwood import demand
from oleanderwood import ids
from oleanderwood import placement
from oleanderwood import placement_actions as actions
from oleanderwood import task_table
from oleanderwood import worker_room


def test_starts_a_waiting_task():
    job = configuration.Job(name='j', pool='p', team='t')
    team = configuration.Team(name='t')
    worker = worker_room.Worker(
        ids.VmId('w'),
        ids.PoolId('p'),
        ids.DataCentre('d'),
        ids.Rack('r'),
        4.0,
        8.0,
    )
    table = task_table.Table()
    task_table.reconcile(table, [job], 0.0)
    decided = placement.place(
        [job],
        [team],
        [worker],
        table.rows,
        demand.Demand(),
        0.0,
        random.Random(1),
    )
    assert decided == [
        actions.StartTask('j:0', 'j', 'w', 1, 1.0, 1.0),
    ]
