"""Which jobs' progress has to be written, and up to where it is. Pure.

Changes are numbered. A worker's ends may be acknowledged once all changes that
were made by them are written, whatever has changed since.
"""

import collections.abc

from oleanderwood.jobs import ledger as ledgers


def take_up(ledger: ledgers.Ledger, most: int) -> list[ledgers.Entry]:
    """Take up jobs to be written together, those that have ended first.

    One that is being written isn't taken up again before it is: of two writes
    that are under way the older could be the last.
    """
    free = [
        entry
        for name, entry in ledger.dirty.items()
        if name not in ledger.under_way
    ]
    free.sort(key=lambda entry: not ledgers.final(entry))
    for entry in free[:most]:
        del ledger.dirty[entry.job.job]
        ledger.under_way[entry.job.job] = entry.unwritten_since
    return free[:most]


def note_written(
    ledger: ledgers.Ledger, entries: collections.abc.Iterable[ledgers.Entry]
) -> None:
    """Note that jobs lie in the store as they were when taken up."""
    for entry in entries:
        ledger.under_way.pop(entry.job.job, None)


def note_failed(
    ledger: ledgers.Ledger, entries: collections.abc.Iterable[ledgers.Entry]
) -> None:
    """Note that jobs which were taken up have to be written again."""
    for entry in entries:
        since = ledger.under_way.pop(entry.job.job, None)
        if since is not None:
            entry.unwritten_since = since
            ledger.dirty[entry.job.job] = entry


def written_up_to(ledger: ledgers.Ledger) -> int:
    """Give the number of the last change up to which all are written."""
    waiting = [entry.unwritten_since for entry in ledger.dirty.values()]
    waiting += ledger.under_way.values()
    return min(waiting, default=ledger.changes + 1) - 1
