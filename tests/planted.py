"""Runs a daemon with a planted defect, for proofs that must then fail.

``python -m tests.planted DEFECT MODULE ARGUMENT...`` takes one mechanism
away and runs the module's ``main``. The defects live here alone.
"""

import dataclasses
import importlib
import sys

import msgspec

from oleanderwood import attempt
from oleanderwood import catch_up
from oleanderwood import config_state
from oleanderwood import configuration
from oleanderwood import errors
from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import http_client
from oleanderwood import http_server
from oleanderwood import parts
from oleanderwood import peer_answers
from oleanderwood import release
from oleanderwood import request_headers
from oleanderwood import retry
from oleanderwood import rollout
from oleanderwood import rollout_run
from oleanderwood import verdict as verdicts
from oleanderwood import view

LEAVING = (
    fleet.VmState.RELEASING,
    fleet.VmState.DRAINING,
    fleet.VmState.REBOOTING,
)

NONCE = b'caller-nonce'


def deaf():
    """The entry doesn't see VMs leave, but says that it follows."""
    take = catch_up.take_shard
    answer = peer_answers.release

    def take_shard(node, shard):
        if not any(row.state in LEAVING for row in shard.rows):
            take(node, shard)

    def lie(node, request):
        reply = answer(node, request)
        return msgspec.structs.replace(
            reply, revision=request.shard.revision, in_flight={}
        )

    catch_up.take_shard = take_shard
    peer_answers.release = lie


def hides_work():
    """The entry says that it has nothing in flight."""
    grants.held = lambda held: {}


def repeats_all():
    """The entry repeats what may have run."""
    verdicts.may_retry = lambda verdict, idempotent: True
    retry.allowed = lambda verdict, idempotent, attempts: attempts < 3


def denies_runs():
    """The entry says of every failure that nothing ran."""

    def failure(connection, error):
        return errors.CallFailed(verdicts.Verdict.NOT_RUN, str(error))

    http_client.failure = failure


def mixes_answers():
    """The entry gives an answer to whoever asks next."""
    events = attempt._events
    last = [b'']

    def mixed(exchange, row):
        headers = exchange.request.headers
        for index, (name, value) in enumerate(headers):
            if name == NONCE:
                earlier, last[0] = last[0], value
                exchange.request.headers = [
                    *headers[:index],
                    (NONCE, earlier),
                    *headers[index + 1 :],
                ]
        return events(exchange, row)

    attempt._events = mixed


def mute():
    """The entry doesn't say what is known of a failed request."""
    request_headers.VERDICT = b'x-nothing'


def stops_at_once():
    """The entry cuts what is in flight when it is asked to stop."""

    async def stop(server, poll_s=0.05):
        await server.stopped.set()

    http_server.stop = stop


def applies_staged():
    """The entry follows a revision before it is accepted."""
    stage = config_state.stage

    def early(state, head, content, now_s, base_version=None):
        said = stage(state, head, content, now_s, base_version)
        config_state.apply(state, head, content)
        return said

    config_state.stage = early


def never_isolated():
    """The entry sends work however long it has had no contact."""
    view.isolated = lambda found, now_s: False


def waits_for_none():
    """The controller doesn't wait for entries to release a VM."""

    async def ask(asker, shards, releases):
        releases.blocked = {}
        releases.whole_since_s = releases.whole_since_s or asker.now_s()
        for shard in shards.values():
            for row in release.waiting(shard, releases):
                releases.released.add((row.vm, row.epoch))

    release.ask = ask


def promises_nothing():
    """The controller reads the pools without their promises."""
    fetch = parts.fetch

    async def without(kept, head, known=None):
        whole = await fetch(kept, head, known)
        if whole is None:
            return None
        pools = tuple(
            msgspec.structs.replace(
                pool, min_up=0, survives=configuration.Survives.NOTHING
            )
            for pool in whole.pools
        )
        return msgspec.structs.replace(whole, pools=pools)

    parts.fetch = without


def overwrites():
    """The admin writes the head over whatever version is there."""
    swap = rollout_run._swap

    async def blind(running):
        while True:
            item = await running.links.kept.get('config/head')
            running.current = dataclasses.replace(
                running.current, version=0 if item is None else item.version
            )
            swapped = await swap(running)
            if swapped.outcome is not rollout.Outcome.CONFLICT:
                return swapped

    rollout_run._swap = blind


DEFECTS = {
    name.replace('_', '-'): found
    for name, found in list(globals().items())
    if getattr(found, '__module__', None) == __name__
    and not name.startswith('_')
}


def main():
    """Plant a defect and run a daemon."""
    defect, module = sys.argv[1:3]
    sys.argv = [module, *sys.argv[3:]]
    DEFECTS[defect]()
    importlib.import_module(module).main()


if __name__ == '__main__':
    main()
