"""Access to what one process has spent, by the kernel and its metrics."""

import dataclasses
import os
import pathlib
import re

from oleanderwood import http_client
from oleanderwood import ids

_TICKS_PER_S = os.sysconf('SC_CLK_TCK')
_PAGE_BYTES = os.sysconf('SC_PAGE_SIZE')
_SAMPLE = re.compile(r'^(\w+)(?:\{(.*)\})? (\S+)$', re.MULTILINE)

CONTROL_BYTES = 'oleander_control_bytes_total'
STORE_CALLS = 'oleander_store_calls_total'


@dataclasses.dataclass(frozen=True)
class Spent:
    """Totals since the process started, but for ``resident_mb``."""

    processor_s: float
    resident_mb: float
    control_bytes: float
    store_calls: float
    watches: float
    passes: float
    pass_s: float
    shard_writes: float


async def read(pid: int, probes: ids.Address) -> Spent:
    """Read what a daemon has spent so far.

    :raises errors.CallFailed: it doesn't give its metrics
    """
    answer = await http_client.call(probes, 'GET', '/metrics')
    samples = _SAMPLE.findall(answer.body.decode())
    calls = _sum(samples, STORE_CALLS)
    watches = _sum(samples, STORE_CALLS, 'kind="watch"')
    return Spent(
        processor_s=_processor_s(pid),
        resident_mb=_resident_mb(pid),
        control_bytes=_sum(samples, CONTROL_BYTES),
        store_calls=calls - watches,
        watches=watches,
        passes=_sum(samples, 'oleander_controller_passes_total'),
        pass_s=_sum(samples, 'oleander_controller_pass_cpu_seconds_total'),
        shard_writes=_sum(samples, 'oleander_controller_shard_writes_total'),
    )


def _sum(
    samples: list[tuple[str, str, str]], name: str, label: str = ''
) -> float:
    return sum(
        float(value)
        for found, labels, value in samples
        if found == name and label in labels
    )


def _processor_s(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/stat').read_text()
    fields = text.rpartition(')')[2].split()
    user_ticks, system_ticks = int(fields[11]), int(fields[12])
    return (user_ticks + system_ticks) / _TICKS_PER_S


def _resident_mb(pid: int) -> float:
    text = pathlib.Path(f'/proc/{pid}/statm').read_text()
    return int(text.split()[1]) * _PAGE_BYTES / 1e6
