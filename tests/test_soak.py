"""Short soaks of the real servers, and the command line against them."""

import json
import pathlib
import subprocess
import sys

import curio
import pytest

from emulator import day
from oleanderwood.operators import ctl
from soak import processes
from soak import run
from soak import strikes
from soak import world as worlds

FILE = "[[pools]]\nname = 'drafts'\nmin_up = 2\n"
TOKEN = 'secret'

FOUND: dict[int, str] = {}
"""Seeds that once failed, with a line on the cause."""


@pytest.fixture(autouse=True)
def _quiet(monkeypatch):
    monkeypatch.setattr('oleanderwood.event_log.emit', run._quiet)


def test_calm_deployment_serves_every_job(tmp_path):
    plan = day.Plan(1, length_s=3.0, server_count=2)
    outcome = curio.run(run.soak, plan, tmp_path, [])
    assert not run.failed(outcome)
    assert outcome.result.accepted == outcome.result.handed_in


@pytest.mark.parametrize('seed', [2, *FOUND])
def test_drawn_strikes_break_no_rule(seed, tmp_path):
    plan = day.Plan(seed, length_s=6.0, server_count=3)
    rows = strikes.draw(seed, 6.0, run.STRIKES_PER_S)
    outcome = curio.run(run.soak, plan, tmp_path, rows)
    assert not run.failed(outcome), (outcome.result.breaches, outcome.cuts)


async def _ctl(*words):
    """Run the command line; gives its status, output and errors."""
    popen = subprocess.Popen(
        [sys.executable, '-m', 'oleanderwood.operators.ctl', *words],
        stdout=subprocess.PIPE,
        stderr=subprocess.PIPE,
        text=True,
    )
    while popen.poll() is None:
        await curio.sleep(0.05)
    return popen.returncode, popen.stdout.read(), popen.stderr.read()


async def _with_servers(folder: pathlib.Path, use):
    world = await worlds.build(day.Plan(1, server_count=2), folder)
    servers = world.field.servers
    try:
        for process in servers:
            await processes.kill(process)
            processes.write_settings(process, admin_token=TOKEN)
            processes.start(process)
        await curio.sleep(3.0)
        flags = [f'--server={processes.inner_address(row)}' for row in servers]
        return await use(world, [*flags, f'--token={TOKEN}'])
    finally:
        for process in servers:
            process.busy = True
            await processes.kill(process)


def test_command_line_against_real_servers(tmp_path):
    file = tmp_path / 'fleet.toml'
    file.write_text(FILE)

    async def use(world, flags):
        status, told, _ = await _ctl('status', *flags)
        assert status == 0 and 'drafts' in told and 'leads' in told
        status, told, _ = await _ctl('plan', str(file), *flags)
        assert status == 0 and 'pools.drafts.min_up: nothing -> 2' in told
        status, told, _ = await _ctl('apply', str(file), *flags)
        assert status == 0 and 'number 1 is in force' in told
        status, _, told = await _ctl('apply', str(file), '--base=0', *flags)
        assert status == 3 and 'conflict' in told
        status, told, _ = await _ctl('policy', *flags)
        assert status == 0 and FILE.strip() in told
        status, told, _ = await _ctl('history', '--json', *flags)
        assert json.loads(told)['records'][0]['number'] == 1
        status, _, told = await _ctl('job', 'f' * 16, *flags)
        assert status == 1 and 'not-found' in told
        status, told, _ = await _ctl('dump', *flags)
        assert status == 0 and 'lease_left_s' in told
        status, _, told = await _ctl('apply', str(file), *flags[:-1])
        assert status == 2
        status, _, told = await _ctl('status', '--server=127.0.0.1:9')
        assert status == 4

    curio.run(_with_servers, tmp_path, use)


def test_faulty_file_is_refused_without_asking(tmp_path, capsys):
    file = tmp_path / 'fleet.toml'
    file.write_text('[[pools]]\nmin_up = 1\n[x]\n')
    assert ctl.validate(file) == ctl.Exit.REFUSED
    assert capsys.readouterr().err.count('\n') == 2
    file.write_text(FILE)
    assert ctl.validate(file) == ctl.Exit.OK
