"""Access to the processes of a run: started, found and ended by their id.

Each runs in a session of its own, so that Ctrl-C reaches only the run,
which ends them in order; the kernel kills them should the run itself be
killed. Their output goes to files of the run's directory.
"""

import collections.abc
import contextlib
import ctypes
import dataclasses
import os
import pathlib
import shutil
import signal
import socket
import subprocess
import sys
import tempfile
import time

import curio

from oleanderwood import ids

PR_SET_PDEATHSIG = 1
FIRST_LINE_TIMEOUT_S = 30.0
STOP_TIMEOUT_S = 15.0
POLL_S = 0.02
TAIL_LINES = 15

_LIBC = ctypes.CDLL(None)


class StartFailed(Exception):
    """A process ended, or said nothing, before it was of use."""


@dataclasses.dataclass
class Child:
    """One process; ``arguments`` start it anew.

    :ivar ended_well: whether an end is no failure, being asked for
    """

    name: str
    arguments: list[str]
    directory: pathlib.Path
    popen: subprocess.Popen
    starts: int = 1
    ended_well: bool = False

    @property
    def output(self) -> pathlib.Path:
        """The file of its standard output."""
        return self.directory / f'{self.name}.out'

    @property
    def log(self) -> pathlib.Path:
        """The file of its standard error, over all starts."""
        return self.directory / f'{self.name}.log'


@dataclasses.dataclass
class Run:
    """All processes of one run, and its directory."""

    directory: pathlib.Path
    children: dict[str, Child] = dataclasses.field(default_factory=dict)


@contextlib.contextmanager
def running() -> collections.abc.Iterator[Run]:
    """Give a run; at the end, however it comes, no process is left."""
    with tempfile.TemporaryDirectory(prefix='oleander-') as directory:
        run = Run(pathlib.Path(directory))
        previous = signal.signal(signal.SIGTERM, _interrupt)
        try:
            yield run
        finally:
            signal.signal(signal.SIGTERM, signal.SIG_IGN)
            end_all(run)
            signal.signal(signal.SIGTERM, previous)


def _interrupt(number: int, frame: object) -> None:
    raise KeyboardInterrupt


def start(run: Run, name: str, *arguments: str) -> Child:
    """Start ``python -m`` with these arguments.

    :param name: unique in the run; names the files of its output
    """
    child = Child(name, list(arguments), run.directory, None)
    run.children[name] = child
    _spawn(child)
    return child


def restart(child: Child) -> None:
    """Start an ended process anew with the same arguments."""
    if child.popen.poll() is None:
        raise StartFailed(f'{child.name} still runs')
    child.starts += 1
    child.ended_well = False
    _spawn(child)


def _spawn(child: Child) -> None:
    with child.output.open('wb') as output, child.log.open('ab') as log:
        child.popen = subprocess.Popen(
            [sys.executable, '-m', *child.arguments],
            stdin=subprocess.DEVNULL,
            stdout=output,
            stderr=log,
            start_new_session=True,
            preexec_fn=_die_with_parent,
        )


def _die_with_parent() -> None:
    _LIBC.prctl(PR_SET_PDEATHSIG, signal.SIGKILL)


async def first_lines(child: Child, count: int = 1) -> list[str]:
    """Wait for the first lines that a process prints.

    :raises StartFailed: it ended before, or they don't come in time
    """
    end_s = time.monotonic() + FIRST_LINE_TIMEOUT_S
    while time.monotonic() < end_s:
        lines = child.output.read_text().split('\n')
        if len(lines) > count:
            return lines[:count]
        if child.popen.poll() is not None:
            break
        await curio.sleep(POLL_S)
    raise StartFailed(f'{child.name} did not start:\n{tail(child)}')


def tail(child: Child) -> str:
    """Give the end of a process's log."""
    lines = child.log.read_text(errors='replace').splitlines()
    return '\n'.join(lines[-TAIL_LINES:])


def send(child: Child, number: int) -> None:
    """Send a signal; a process that has ended takes none."""
    if child.popen.poll() is None:
        child.popen.send_signal(number)


def kill(child: Child) -> None:
    """Kill a process at once and wait for its end."""
    child.ended_well = True
    send(child, signal.SIGKILL)
    child.popen.wait()


def pause(child: Child) -> None:
    """Stop a process where it stands."""
    send(child, signal.SIGSTOP)


def resume(child: Child) -> None:
    """Let a paused process go on."""
    send(child, signal.SIGCONT)


async def stop(child: Child, timeout_s: float = STOP_TIMEOUT_S) -> int:
    """Stop a process in an orderly way.

    :returns: its exit status, -9 if it had to be killed
    """
    child.ended_well = True
    send(child, signal.SIGTERM)
    end_s = time.monotonic() + timeout_s
    while child.popen.poll() is None and time.monotonic() < end_s:
        await curio.sleep(POLL_S)
    if child.popen.poll() is None:
        kill(child)
    return child.popen.returncode


def crashed(run: Run) -> list[Child]:
    """Give the processes that ended without being asked to."""
    return [
        child
        for child in run.children.values()
        if child.popen.poll() is not None and not child.ended_well
    ]


def end_all(run: Run) -> None:
    """End every process that is left."""
    for child in run.children.values():
        send(child, signal.SIGKILL)
    for child in run.children.values():
        child.popen.wait()


def host(number: int = 0) -> str:
    """Give a loopback IP number that this run alone uses.

    Two runs at once can't take each other's ports, nor can the port of a
    process that is down be given to somebody's outgoing connection.

    :param number: of the VM, below 256
    """
    pid = os.getpid()
    high = 64 + (pid >> 8) % 128
    return f'127.{high}.{pid & 0xFF}.{number + 1}'


def free_address(ip: str) -> ids.Address:
    """Find a free port; a process that is started next may bind it."""
    with socket.socket() as sock:
        sock.bind((ip, 0))
        return ids.Address('{}:{}'.format(*sock.getsockname()))


def keep_logs(run: Run, directory: pathlib.Path) -> None:
    """Copy all processes' logs to a directory that outlives the run."""
    directory.mkdir(parents=True, exist_ok=True)
    for child in run.children.values():
        shutil.copy(child.log, directory)
