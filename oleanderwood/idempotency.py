"""Access to the idempotency keys that an entry owns: at most one run each.

The owner of a key's bucket says who may run the request. Times are wall
clock times in seconds: those of the owners' clocks, and the time stamps
within keys (UUID version 7) of the callers' clocks. A grant is only given
for a time stamp that isn't ahead of the owner's clock, so that after the
loss of an owner no caller's clock can make an old key look new.
"""

import collections
import dataclasses
import enum
import itertools
import uuid

import msgspec

from oleanderwood import buckets
from oleanderwood import ids
from oleanderwood import verdict as verdicts

RETENTION_S = 900.0
"""Time for which a repeat is recognised."""

AHEAD_S = 5.0
"""How far a caller's clock may be ahead of the owner's."""

OWNER_SKEW_S = 2.0
"""How far the clocks of two entries may differ."""

MAX_RECORDS = 60_000
"""Keys that one entry keeps, over all of its buckets."""

MAX_ANSWER_BYTES = 512
"""Longest answer that is kept for repeats."""


class Answer(enum.Enum):
    """What an owner says to a claim."""

    RUN = 'run'
    """The claimant may run the request, once, and settles it then."""

    ENDED = 'ended'
    """It ran; the verdict is ``RAN``, with status and answer if kept."""

    UNKNOWN = 'unknown'
    """It may have run, or runs; the verdict is ``MAY_HAVE_RUN``."""

    OTHER_REQUEST = 'other-request'
    """The key was used for another request; ``NOT_RUN``."""

    CLOCK_AHEAD = 'clock-ahead'
    """The key's time stamp lies in the future; ``NOT_RUN``."""

    FULL = 'full'
    """No more keys can be kept at the moment; ``NOT_RUN``."""

    NOT_OWNER = 'not-owner'
    """Ask the owner by a newer table; ``NOT_RUN`` if there is none."""


class Claim(msgspec.Struct, frozen=True):
    """Asks the owner whether a request may run.

    :ivar epoch: of the key's bucket, by the claimant's table
    :ivar key: the caller's key with team and service, see :func:`scope`
    :ivar claim: new for each request that reached an entry
    :ivar fingerprint: tells requests apart that use the same key
    """

    epoch: ids.Epoch
    key: ids.RequestKey
    claim: str
    fingerprint: str


class ClaimReply(msgspec.Struct, frozen=True):
    """The owner's word; ``body`` is ``None`` if it was not kept."""

    answer: Answer
    status: int = 0
    body: bytes | None = None


class Settlement(msgspec.Struct, frozen=True):
    """Tells the owner how a request that it let run has ended."""

    key: ids.RequestKey
    claim: str
    verdict: verdicts.Verdict
    status: int = 0
    body: bytes | None = None


class Record(msgspec.Struct):
    """What is known of one key.

    ``grants`` and ``not_runs`` count the claims that may run and those
    that ended ``NOT_RUN``. ``verdict`` is ``None`` while one runs.
    """

    claim: str
    fingerprint: str
    granted_at_s: float
    verdict: verdicts.Verdict | None = None
    status: int = 0
    body: bytes | None = None
    grants: int = 1
    not_runs: int = 0


Records = dict[ids.RequestKey, Record]


class HandOver(msgspec.Struct, frozen=True):
    """A bucket's records on their way to its next owner."""

    bucket: int
    hand_over: str
    floor_s: float
    unstamped_floor_s: float
    stamped: Records
    unstamped: Records


@dataclasses.dataclass
class Held:
    """One bucket in the memory of its owner.

    :ivar floor_s: keys of this time stamp or an earlier one are unknown
    :ivar unstamped_floor_s: keys without time stamp are unknown until then
    :ivar stamped: records of keys with a time stamp, oldest grant first
    :ivar unstamped: records of the others, oldest grant first
    :ivar frozen: it is being handed over; nothing is granted
    """

    epoch: ids.Epoch
    floor_s: float
    unstamped_floor_s: float
    stamped: Records = dataclasses.field(default_factory=dict)
    unstamped: Records = dataclasses.field(default_factory=dict)
    frozen: bool = False


@dataclasses.dataclass
class Ledger:
    """All buckets that one entry owns.

    :ivar received: hand-overs that the table doesn't show yet
    :ivar breaches: invariants that did not hold, with their counts
    """

    owner: buckets.Owner
    max_records: int = MAX_RECORDS
    held: dict[int, Held] = dataclasses.field(default_factory=dict)
    received: dict[int, HandOver] = dataclasses.field(default_factory=dict)
    revision: ids.Revision = ids.Revision(0)
    breaches: collections.Counter[str] = dataclasses.field(
        default_factory=collections.Counter
    )


def scope(
    team: ids.TeamId, service: ids.ServiceId, key: str
) -> ids.RequestKey:
    """Make the key under which a caller's key is kept."""
    return ids.RequestKey(f'{team}/{service}/{key}')


def stamp_s(key: ids.RequestKey) -> float | None:
    """Read the time stamp of a key; ``None`` unless it is a UUIDv7."""
    try:
        parsed = uuid.UUID(key.rpartition('/')[2])
    except ValueError:
        return None
    if parsed.version != 7:
        return None
    return (parsed.int >> 80) / 1000


def follow(ledger: Ledger, table: buckets.Table, now_s: float) -> None:
    """Take in a newer table; older ones change nothing.

    A bucket that comes without its records knows nothing of the keys that
    an earlier owner may have let run.
    """
    if table.revision <= ledger.revision:
        return
    ledger.revision = table.revision
    for number, bucket in enumerate(table.buckets):
        held = ledger.held.get(number)
        if bucket.owner != ledger.owner:
            ledger.held.pop(number, None)
        elif held is None or held.epoch != bucket.epoch:
            ledger.held[number] = _take_on(ledger, number, bucket, now_s)
        elif held.frozen:
            held.frozen = False


def claim(ledger: Ledger, asked: Claim, now_s: float) -> ClaimReply:
    """Decide whether a request may run.

    To be called only while this entry isn't isolated.
    """
    held = ledger.held.get(buckets.bucket_of(asked.key))
    if held is None or held.epoch != asked.epoch or held.frozen:
        return ClaimReply(Answer.NOT_OWNER)
    stamp = stamp_s(asked.key)
    records = held.unstamped if stamp is None else held.stamped
    record = records.get(asked.key)
    if record is not None:
        return _repeat(ledger, records, record, asked, now_s)
    answer = _judge_unknown(held, stamp, now_s)
    if answer is Answer.RUN:
        _drop_old(held, records, now_s)
        if not _make_room(ledger, held):
            return ClaimReply(Answer.FULL)
        records[asked.key] = Record(asked.claim, asked.fingerprint, now_s)
    return ClaimReply(answer)


def settle(ledger: Ledger, ended: Settlement) -> bool:
    """Note how a request ended; say whether this entry is to be told.

    A settlement of another claim than the latest one changes nothing.
    """
    held = ledger.held.get(buckets.bucket_of(ended.key))
    if held is None or held.frozen:
        return False
    records = held.unstamped if stamp_s(ended.key) is None else held.stamped
    record = records.get(ended.key)
    if record is None or record.claim != ended.claim:
        return True
    if record.verdict is not None:
        return True
    record.verdict = ended.verdict
    record.status = ended.status
    record.not_runs += ended.verdict is verdicts.Verdict.NOT_RUN
    if ended.body is not None and len(ended.body) <= MAX_ANSWER_BYTES:
        record.body = ended.body
    return True


def hand_over(ledger: Ledger, bucket: int, name: str) -> HandOver | None:
    """Freeze a bucket and give its records for the next owner.

    After it was sent and received, the table is to be changed, naming the
    hand-over. The bucket stays frozen until a newer table is followed.

    :param name: new for each hand-over
    :returns: ``None`` when this entry doesn't own the bucket
    """
    held = ledger.held.get(bucket)
    if held is None:
        return None
    held.frozen = True
    return HandOver(
        bucket,
        name,
        held.floor_s,
        held.unstamped_floor_s,
        _copied(held.stamped),
        _copied(held.unstamped),
    )


def thaw(ledger: Ledger, bucket: int) -> None:
    """Let a bucket be used again whose hand-over is given up.

    Only if it is certain that the table will never name that hand-over.
    """
    if bucket in ledger.held:
        ledger.held[bucket].frozen = False


def receive(ledger: Ledger, sent: HandOver) -> None:
    """Keep a hand-over until the table shows it."""
    ledger.received[sent.bucket] = sent


def _take_on(
    ledger: Ledger, number: int, bucket: buckets.Bucket, now_s: float
) -> Held:
    sent = ledger.received.pop(number, None)
    if bucket.hand_over and sent and sent.hand_over == bucket.hand_over:
        return Held(
            bucket.epoch,
            sent.floor_s,
            sent.unstamped_floor_s,
            sent.stamped,
            sent.unstamped,
        )
    return Held(bucket.epoch, _floor_s(now_s), _unstamped_floor_s(now_s))


def _copied(records: Records) -> Records:
    return {
        key: msgspec.structs.replace(record) for key, record in records.items()
    }


def _floor_s(taken_over_at_s: float) -> float:
    """Give the latest time stamp that an earlier owner may have let run."""
    return taken_over_at_s + AHEAD_S + OWNER_SKEW_S


def _unstamped_floor_s(taken_over_at_s: float) -> float:
    """Give until when a key may be a repeat of an earlier owner's."""
    return taken_over_at_s + RETENTION_S + OWNER_SKEW_S


def _repeat(
    ledger: Ledger,
    records: Records,
    record: Record,
    asked: Claim,
    now_s: float,
) -> ClaimReply:
    if record.fingerprint != asked.fingerprint:
        return ClaimReply(Answer.OTHER_REQUEST)
    if record.verdict is None and record.claim == asked.claim:
        return ClaimReply(Answer.RUN)
    if record.verdict is verdicts.Verdict.RAN:
        return ClaimReply(Answer.ENDED, record.status, record.body)
    if record.verdict is not verdicts.Verdict.NOT_RUN:
        return ClaimReply(Answer.UNKNOWN)
    record.claim = asked.claim
    record.verdict = None
    record.granted_at_s = now_s
    records[asked.key] = records.pop(asked.key)
    record.grants += 1
    if record.grants > record.not_runs + 1:
        ledger.breaches['second start of an idempotency key'] += 1
        return ClaimReply(Answer.UNKNOWN)
    return ClaimReply(Answer.RUN)


def _judge_unknown(held: Held, stamp: float | None, now_s: float) -> Answer:
    """Judge a key of which there is no record."""
    if stamp is None:
        is_known_new = now_s > held.unstamped_floor_s
        return Answer.RUN if is_known_new else Answer.UNKNOWN
    if stamp > now_s + AHEAD_S:
        return Answer.CLOCK_AHEAD
    if stamp <= held.floor_s:
        return Answer.UNKNOWN
    return Answer.RUN


def _drop_old(held: Held, records: Records, now_s: float) -> None:
    """Drop the two oldest records if their time is over.

    Two for each that is added keep up with any rate.
    """
    for key in list(itertools.islice(records, 2)):
        if now_s > records[key].granted_at_s + RETENTION_S + AHEAD_S:
            _drop(held, records, key)


def _make_room(ledger: Ledger, held: Held) -> bool:
    """Drop the oldest records with a time stamp as far as is needed."""
    most = max(1, ledger.max_records // len(ledger.held))
    while len(held.stamped) + len(held.unstamped) >= most:
        if not held.stamped:
            return False
        _drop(held, held.stamped, next(iter(held.stamped)))
    return True


def _drop(held: Held, records: Records, key: ids.RequestKey) -> None:
    """Forget a key; the floor keeps it from running again."""
    del records[key]
    stamp = stamp_s(key)
    if stamp is not None:
        held.floor_s = max(held.floor_s, stamp)
