"""Tracks which jobs' changes have to be written and which are written. Pure.

Changes are numbered. The ends that a worker reports may be acknowledged once
all changes they caused are written, regardless of later changes.
"""

import collections.abc

from oleanderwood.jobs import ledger as ledgers


def take_dirty(ledger: ledgers.Ledger, max_jobs: int) -> list[ledgers.Entry]:
    """Return up to ``max_jobs`` jobs to be written next, ended ones first.

    A job that is being written is left out until that write is done: of two
    concurrent writes, the older could take effect last.
    """
    free = [
        entry
        for name, entry in ledger.dirty.items()
        if name not in ledger.under_way
    ]
    free.sort(key=lambda entry: not ledgers.is_final(entry))
    for entry in free[:max_jobs]:
        del ledger.dirty[entry.job.job]
        ledger.under_way[entry.job.job] = entry.first_unwritten
    return free[:max_jobs]


def note_written(
    ledger: ledgers.Ledger, entries: collections.abc.Iterable[ledgers.Entry]
) -> None:
    """Record that the store holds jobs as they were when taken up."""
    for entry in entries:
        ledger.under_way.pop(entry.job.job, None)


def note_failed(
    ledger: ledgers.Ledger, entries: collections.abc.Iterable[ledgers.Entry]
) -> None:
    """Record that the write of jobs failed and has to be repeated."""
    for entry in entries:
        since = ledger.under_way.pop(entry.job.job, None)
        if since is not None:
            entry.first_unwritten = since
            ledger.dirty[entry.job.job] = entry


def written_up_to(ledger: ledgers.Ledger) -> int:
    """Return the highest number up to which all changes are written."""
    unwritten = [entry.first_unwritten for entry in ledger.dirty.values()]
    unwritten += ledger.under_way.values()
    return min(unwritten, default=ledger.changes + 1) - 1
