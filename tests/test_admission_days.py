"""Emulated days on which callers send more than the pools can do.

Guards against a refused job that is started, and an accepted one that is
lost, as the checker sees it from outside the product.
"""

import pytest

from emulator import day
from emulator import evidence as evidences
from emulator import tenancy as tenancies
from emulator import troubles
from oleanderwood.frontend import admitting
from oleanderwood.frontend import handler as handlers
from oleanderwood.leading import state as states
from tests import utils_admitting as admission
from tests import utils_leading

Kind = troubles.Kind

WEIGHT = 1
"""Jobs that a tenant is assured per second; four of them send 16."""


@pytest.fixture(autouse=True)
def _pressed(monkeypatch):
    """Let admission be in force, and let weights matter but no limits.

    Leaders draw the salt that decides which jobs are admitted. A fixed one
    makes the days repeat, and with them how many jobs are refused.
    """
    admission.declare_pressure(monkeypatch)
    monkeypatch.setattr(states.secrets, 'token_hex', lambda size: '5a' * size)
    make = tenancies.make

    def make_light(*arguments):
        tenancy = make(*arguments)
        for row in tenancy.rows.values():
            row['weight'] = WEIGHT
            row['max_count']['cpu'] = 0
        return tenancy

    monkeypatch.setattr(tenancies, 'make', make_light)


def _plan(seed, *kinds):
    rows = [
        troubles.Trouble(kind, 3.0 + number, 3.0)
        for number, kind in enumerate(kinds)
    ]
    return day.Plan(
        seed,
        length_s=8.0,
        jobs_per_s=16.0,
        machines_a_pool=2,
        machines_on_standby=0,
        troubles=tuple(rows),
        finish_s=tenancies.FINISH_S,
        tenants=4,
    )


def _answers(result, status):
    return [
        sight.job
        for sight in result.evidence.sights
        if sight.kind is evidences.Kind.HANDED_IN and sight.how == status
    ]


@pytest.mark.parametrize(
    'kinds',
    [
        (),
        (Kind.LEADER_KILLED,),
        (Kind.SERVERS_CUT,),
        (Kind.STORE_SILENT,),
        (Kind.ORDERS_LATE, Kind.LEADER_SUSPENDED),
    ],
    ids=lambda kinds: '-'.join(kind.value for kind in kinds) or 'calm',
)
def test_refused_jobs_never_run_and_accepted_ones_end(kinds):
    result = day.play(_plan(3, *kinds))
    assert not result.breaches and not result.unfinished
    refused = set(_answers(result, '429'))
    assert len(refused) > 10
    started = {
        sight.job
        for sight in result.evidence.sights
        if sight.kind is evidences.Kind.STARTED
    }
    accepted = set(_answers(result, '200'))
    doubtful = set(_answers(result, '0')) | set(_answers(result, '504'))
    assert not (refused & started) - accepted - doubtful
    assert len(accepted) > 40


def test_refusal_of_a_stored_job_is_found(monkeypatch):
    """The days above show something: a false refusal is a breach."""
    real = handlers._persist

    async def persist(frontend, job):
        result = await real(frontend, job)
        if int(job.job, 16) % 4 == 0:
            return handlers.forwarding.RelayResult(
                handlers.verdicts.Verdict.NOT_RUN, 'not accepted'
            )
        return result

    async def judge(*arguments):
        return admitting.Outcome.ADMITTED

    monkeypatch.setattr(handlers, '_persist', persist)
    monkeypatch.setattr(admitting, 'judge', judge)
    result = day.play(_plan(3))
    assert any(row.startswith('REFUSED') for row in result.breaches)


def test_limited_pools_open_after_the_load(monkeypatch):
    events = utils_leading.record_events(monkeypatch)
    day.play(_plan(3))
    last = {
        fields['pool']: event
        for part, event, fields in events
        if part == 'admission' and 'pool' in fields
    }
    limited = {
        fields['pool']
        for part, event, fields in events
        if (part, event) == ('admission', 'limited')
    }
    assert limited
    assert all(last[pool] == 'open' for pool in limited)
