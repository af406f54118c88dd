"""Builders of waves, their machines and a leader that maintains them."""

import types

from oleanderwood import clock
from oleanderwood.leading import fenced_writes
from oleanderwood.leading import state as states
from oleanderwood.maintenance import fleet
from oleanderwood.maintenance import rolling
from oleanderwood.platform import machines as machine_calls
from tests import utils_jobs as build

MAINTENANCE_S = 2.0


def machines(*names, state=fleet.State.UP):
    """Build machines in one state, each with a worker of its own."""
    return {
        name: fleet.Machine(name, build.POOL, state, worker=f'w-{name}')
        for name in names
    }


def progress(*names, max_down=1, time_s=60.0):
    """Build the progress of a wave of which nothing has begun."""
    return rolling.Progress(fleet.Wave(1, names, time_s, max_down), 0.0)


def decide(progress_, machines_, workers=(), now_s=10.0, **bounds):
    """Decide which machines go down now."""
    return rolling.decide(
        progress_,
        machines_,
        dict(workers),
        MAINTENANCE_S,
        now_s,
        rolling.Bounds(**bounds),
    )


def busy_worker(name, **fields):
    """Build a worker that runs one task; return it with the ledger.

    :param fields: of the step of the task
    """
    worker = build.worker(name)
    ledger = build.ledger_with(build.job(build.step(**fields)))
    run = build.start(ledger, build.task(ledger), worker)
    run.serving_since_s = 1.0
    return worker, ledger


def leader(*names):
    """Build what the maintenance of machines uses of a leader."""
    settings = types.SimpleNamespace(
        machine_orders_per_s=64.0,
        machine_turn_ms=3000.0,
        maintenance_s=MAINTENANCE_S,
    )
    fleet_ = states.Fleet()
    fleet_.machines = machines(*names)
    return types.SimpleNamespace(
        server=types.SimpleNamespace(settings=settings),
        fleet=fleet_,
        incarnations={},
        workers={},
        machine_calls=None,
        term=256,
    )


def install_platform(monkeypatch, now_s=100.0):
    """Replace clock, store and platform.

    :return: the time, the stored values, and the answers to orders: outcomes
        or errors, one after another
    """
    found = types.SimpleNamespace(s=now_s, stored={}, answers=[])

    async def write(_leader, values, _part, _event):
        found.stored.update(values)
        return True

    async def order(*_arguments):
        answer = found.answers.pop(0)
        if isinstance(answer, Exception):
            raise answer
        return answer

    monkeypatch.setattr(clock, 'now_s', lambda: found.s)
    monkeypatch.setattr(fenced_writes, 'try_write', write)
    monkeypatch.setattr(states, 'holds_lease', lambda leader_: True)
    monkeypatch.setattr(machine_calls, 'maintain', order)
    monkeypatch.setattr(machine_calls, 'move', order)
    return found
