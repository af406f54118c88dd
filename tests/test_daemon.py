"""Tests of the signal handling of daemon."""

import os
import signal

import curio

from oleanderwood import daemon


def test_until_stopped_returns_on_signal():
    async def main():
        waiting = await curio.spawn(daemon.until_stopped)
        await curio.sleep(0.01)
        assert not waiting.terminated
        assert signal.set_wakeup_fd(-1) != -1
        os.kill(os.getpid(), signal.SIGTERM)
        async with curio.timeout_after(5):
            await waiting.join()

    previous = [signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)]
    try:
        curio.run(main)
    finally:
        signal.signal(signal.SIGTERM, previous[0])
        signal.signal(signal.SIGINT, previous[1])


def test_two_waits_for_signals_share_one_wake(caplog):
    async def main():
        await daemon.signal_socket(signal.SIGUSR1)
        signals = await daemon.signal_socket(signal.SIGUSR2)
        await curio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGUSR2)
        async with curio.timeout_after(5):
            return (await signals.recv(1))[0]

    assert curio.run(main) == signal.SIGUSR2
    assert 'Task Crash' not in caplog.text


def test_daemon_takes_signals_in_two_places(caplog):
    """Each daemon waits for SIGUSR1 and for its stop signal; no task crashes.

    curio lets only one task wait for a descriptor, so a second wait on the
    same one would crash its task.
    """

    async def main():
        for _ in range(2):
            signals = await daemon.signal_socket(signal.SIGUSR1)
        await curio.sleep(0.01)
        os.kill(os.getpid(), signal.SIGUSR1)
        async with curio.timeout_after(5):
            return await signals.recv(1)

    previous = signal.getsignal(signal.SIGUSR1)
    try:
        assert curio.run(main) == bytes((signal.SIGUSR1,))
    finally:
        signal.signal(signal.SIGUSR1, previous)
        signal.set_wakeup_fd(-1)
    assert 'Task Crash' not in caplog.text
