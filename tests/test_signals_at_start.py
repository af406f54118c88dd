"""SIGHUP while a server starts.

The platform sends SIGHUP when a settings file has changed. Until the server
had set its handlers up, 250 ms after its start, the signal ended the process.
"""

import json
import os
import signal
import subprocess
import sys
import tomllib

import curio
import pytest

from oleanderwood import boot
from oleanderwood import event_log
from oleanderwood import server as servers
from tests import utils_guide
from tests import utils_settings

ROOT = utils_guide.ROOT

SURVIVED = 7
"""Exit status of a process that the signal didn't end."""

SLOW_IMPORT = f"""
import os
import signal
import time
os.kill(os.getpid(), signal.SIGHUP)
time.sleep(0.05)
os._exit({SURVIVED})
"""
"""Stands for a library that the server imports."""


def _command():
    deploy = tomllib.loads((ROOT / 'deploy/system.toml').read_text())
    return deploy['roles']['oleander-server']['run'].split()[1:]


@pytest.mark.parametrize('library', ('curio', 'h11', 'msgspec'))
def test_sighup_during_the_imports_does_not_end_the_process(library, tmp_path):
    """Its default action would; the imports take a fifth of a second."""
    (tmp_path / f'{library}.py').write_text(SLOW_IMPORT)
    process = subprocess.run(
        [sys.executable, *_command()],
        cwd=ROOT,
        env={**os.environ, 'PYTHONPATH': str(tmp_path)},
        capture_output=True,
        timeout=30,
        check=False,
    )
    assert process.returncode == SURVIVED, process.stderr


@pytest.fixture
def lines(monkeypatch):
    found = []
    monkeypatch.setattr(
        event_log,
        'emit',
        lambda part, event, **fields: found.append((event, fields)),
    )
    return found


def _started_with(tmp_path, read, present):
    """Read some settings, change the file, and handle signals from then on."""
    path = tmp_path / 'settings.json'
    path.write_text(json.dumps(read))
    server = servers.make_server(boot.read(str(path)))
    path.write_text(json.dumps(present))

    async def main():
        task = await curio.spawn(servers._reload_on_signal, server, str(path))
        await curio.sleep(0.05)
        await task.cancel()

    previous = signal.getsignal(signal.SIGHUP)
    try:
        curio.run(main)
    finally:
        signal.signal(signal.SIGHUP, previous)
    return server.settings


def test_settings_that_changed_during_the_start_are_read(tmp_path, lines):
    """The signal that told of it was ignored."""
    read = utils_settings.raw()
    present = utils_settings.raw(admin_token='new')
    assert _started_with(tmp_path, read, present).admin_token == 'new'
    assert lines == [('reloaded', {'changed': ['admin_token']})]


def test_start_with_settings_that_did_not_change_logs_nothing(tmp_path, lines):
    read = utils_settings.raw()
    _started_with(tmp_path, read, read)
    assert not lines
