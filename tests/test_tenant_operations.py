"""What operators are told of tenants: a table, a job's story, the causes."""

import curio
import msgspec

from oleanderwood import clock
from oleanderwood.operators import causes
from oleanderwood.operators import explain
from oleanderwood.operators import messages
from oleanderwood.operators import text
from tests import utils_servers
from tests import utils_tenants as build

LARGE = build.body(tasks=8, cpu=1000, estimate_ms=900, mem_mb=100)


def _lines(monkeypatch):
    rows = []

    def emit(part, event, **fields):
        rows.append(
            {'time_s': clock.now_s(), 'part': part, 'event': event, **fields}
        )

    monkeypatch.setattr('oleanderwood.event_log.emit', emit)
    return rows


def test_table_tells_what_runs_of_which_limit():
    async def main(world, rows):
        await build.machines(world)
        await curio.sleep(2.0)
        await build.ask(world, rows[0], 'POST', key=build.FIRST, data=LARGE)
        await curio.sleep(0.3)
        leader = next(row for row in rows if row.state.leader is not None)
        return await utils_servers.call(world, leader, 'GET', '/v1/tenants')

    limited = build.tenant('first', build.FIRST, cpu=3000)
    status, body = build.run(main, limited, build.TENANTS[1])
    assert status == 200
    reply = msgspec.json.decode(body, type=messages.TenantsReply)
    first, second = reply.tenants
    assert (first.tenant, first.running_cores) == ('first', 3.0)
    assert (first.limit_cores, first.waiting_jobs) == (3.0, 1)
    assert first.at_limit and not second.at_limit
    told = text.of(reply)
    assert '3.0 of 3' in told and 'at its limit' in told
    assert '0.0 of any' in told


def test_story_of_a_job_tells_of_its_tenants_limit(monkeypatch):
    rows = _lines(monkeypatch)

    async def main(world, servers):
        await build.machines(world)
        await curio.sleep(2.0)
        for job in (build.JOB, build.OTHER_JOB):
            path = build.PATH + job
            await build.ask(
                world, servers[0], 'POST', path, build.FIRST, LARGE
            )
        await curio.sleep(8.0)

    build.run(main, build.tenant('first', build.FIRST, cpu=3000))
    story = explain.explain(rows, build.OTHER_JOB)
    assert story.cause is explain.Cause.TENANT_LIMIT
    found = {row.job.name: row.cause for row in causes.find(rows)}
    assert found[build.OTHER_JOB] is causes.Cause.TENANT_LIMIT


def test_story_of_a_refused_job_tells_that_its_key_was_taken_away(
    monkeypatch,
):
    rows = _lines(monkeypatch)

    async def main(world, servers):
        await build.configure(world, build.TENANTS[1], version=8)
        await curio.sleep(1.5)
        await build.status(world, servers[0], 'POST', key=build.FIRST)
        path = build.PATH + build.OTHER_JOB
        await build.status(world, servers[0], 'POST', path, 'strange')

    build.run(main)
    story = explain.explain(rows, build.JOB)
    assert story.cause is explain.Cause.REVOKED
    assert 'version=8' in '\n'.join(story.lines)
    story = explain.explain(rows, build.OTHER_JOB)
    assert story.cause is explain.Cause.DENIED
    found = {row.job.name: row.cause for row in causes.find(rows)}
    assert found == {build.JOB: causes.Cause.REVOKED}
