"""The servers as processes: settings, start, signals, end."""

import dataclasses
import json
import os
import pathlib
import signal
import subprocess
import sys

import curio

from oleanderwood import boot
from oleanderwood import ids

STOP_TIME_S = 4.0
"""From the signal to stop until a server is killed."""

RESTART_S = 0.3
"""Pause before a server that has ended is started again."""

POLL_S = 0.05


@dataclasses.dataclass(eq=False)
class Process:
    """One server's machine.

    :ivar callers: where callers connect
    :ivar contracts: the platform's contracts that its settings name
    :ivar busy: a strike keeps it
    :ivar stopping: it was told to stop and nothing else befalls it
    """

    name: str
    callers: ids.Address
    settings_path: pathlib.Path
    log_path: pathlib.Path
    store: ids.Address
    machines: ids.Address
    contracts: tuple[str, ...] = ()
    popen: subprocess.Popen | None = None
    busy: bool = False
    stopping: bool = False

    @property
    def state(self) -> subprocess.Popen | None:
        """Give the running process, None while it is down."""
        return self.popen


def write_settings(process: Process, **changes) -> None:
    """Write a server's settings file."""
    host, _, port = process.callers.partition(':')
    values = {
        'name': process.name,
        'ip': host,
        'data_centre': 'zone-a',
        'callers_listen': process.callers,
        'ready_listen': f'{host}:{int(port) + 1}',
        'inner_port': int(port) + 2,
        'store_address': process.store,
        'machines_address': process.machines,
        'stop_time_s': STOP_TIME_S,
        'contracts': process.contracts,
        **changes,
    }
    process.settings_path.write_text(json.dumps(values))


def inner_address(process: Process) -> str:
    """Give where operators ask a server."""
    host, _, port = process.callers.partition(':')
    return f'{host}:{int(port) + 2}'


def start(process: Process) -> None:
    """Start a server unless it runs."""
    if process.popen is not None:
        return
    with process.log_path.open('ab') as log:
        process.popen = subprocess.Popen(
            [sys.executable, '-m', 'oleanderwood'],
            env={**os.environ, boot.PATH_VARIABLE: str(process.settings_path)},
            stdout=log,
            stderr=subprocess.STDOUT,
        )


def send(process: Process, number: signal.Signals) -> None:
    """Send a signal, if the server runs."""
    if process.popen is not None and process.popen.poll() is None:
        process.popen.send_signal(number)


async def kill(process: Process) -> None:
    """End a server at once."""
    popen, process.popen = process.popen, None
    if popen is not None:
        popen.kill()
        await _gone(popen)


async def stop(process: Process) -> None:
    """Stop a server in an orderly way; callers use it until it is gone."""
    popen = process.popen
    if popen is None:
        return
    popen.terminate()
    process.stopping = True
    async with curio.ignore_after(STOP_TIME_S):
        await _gone(popen)
    process.stopping = False
    if process.popen is popen:
        await kill(process)


async def _gone(popen: subprocess.Popen) -> None:
    while popen.poll() is None:
        await curio.sleep(POLL_S)


async def look_after(process: Process) -> None:
    """Start a server again when it ends by itself, until cancelled."""
    while True:
        await curio.sleep(POLL_S)
        popen = process.popen
        if popen is not None and popen.poll() is not None:
            process.popen = None
            await curio.sleep(RESTART_S)
            if not process.busy:
                start(process)
