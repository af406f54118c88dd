"""Tests of daemon: signals."""

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

    kept = [signal.getsignal(n) for n in (signal.SIGTERM, signal.SIGINT)]
    try:
        curio.run(main)
    finally:
        signal.signal(signal.SIGTERM, kept[0])
        signal.signal(signal.SIGINT, kept[1])
