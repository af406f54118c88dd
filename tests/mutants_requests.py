"""Planted defects of the request path."""

import dataclasses

import curio
import h11
import msgspec

from oleanderwood import attempt
from oleanderwood import dispatch
from oleanderwood import entry
from oleanderwood import entry_parts
from oleanderwood import errors
from oleanderwood import exchange as exchanges
from oleanderwood import http
from oleanderwood import http_accepted
from oleanderwood import http_client
from oleanderwood import http_server
from oleanderwood import http_watch
from oleanderwood import membership
from oleanderwood import peer_grpc
from oleanderwood import quotas
from oleanderwood import request_headers
from oleanderwood import retry
from oleanderwood import store_client
from oleanderwood import verdict as verdicts
from tests import utils_mutants as utils

KIND = utils.Invariant
NOT_RUN = verdicts.Verdict.NOT_RUN

_body = http_client._body
_failure = http_client.failure
_run = attempt.run
_send = attempt._send
_blame = attempt._blame
_finish = dispatch.finish
_make_state = dispatch.make_state
_gave_up = store_client._gave_up


def _body_that_ends_when_cut(connection):
    whole = _body(connection)

    async def read():
        try:
            return await whole.read()
        except errors.CallFailed:
            return b''

    return http.Body(read)


def _end_cycle_with_bytes_left(connection):
    protocol = connection.protocol
    if (protocol.our_state, protocol.their_state) == (h11.DONE, h11.DONE):
        protocol.start_next_cycle()


async def _write_unnoted(connection, data):
    try:
        return await connection.sock.send(data)
    except OSError as error:
        raise http_client.failure(connection, repr(error)) from error


def _fault_as_not_run(upload, connection, error):
    found = _blame(upload, connection, error)
    if isinstance(found, exchanges.CallerFault):
        return exchanges.CallerFault(NOT_RUN, found.message)
    return found


def _timed_out_as_not_run(exchange, connection):
    return exchanges.TimedOut(NOT_RUN, 'no answer in time', False)


def _failure_as_not_run(connection, error):
    return errors.CallFailed(NOT_RUN, _failure(connection, error).reason)


def _gave_up_as_not_run(key, doubtful, reason):
    return _gave_up(key, False, reason)


def _finish_as_repeatable(state, ticket, outcome, now_s, rng):
    again = msgspec.structs.replace(outcome, repeatable=True)
    return _finish(state, ticket, again, now_s, rng)


def _without_checks(path):
    def always(vm, epoch, now_s):
        return True

    free = dataclasses.replace(path.permissions, may_send=always)
    return dataclasses.replace(path, permissions=free)


async def _send_unasked(path, *arguments):
    await _send(_without_checks(path), *arguments)


async def _run_asking_early(path, exchange, row, limit):
    """Ask before the connection is there, not after."""
    if path.permissions.may_send(row.vm, row.epoch, 0.0):
        path = _without_checks(path)
    return await _run(path, exchange, row, limit)


def _nothing(vm, epoch):
    """Count nothing."""


async def _run_uncounted(path, *arguments):
    blind = dataclasses.replace(path.permissions, begin=_nothing, end=_nothing)
    path = dataclasses.replace(path, permissions=blind)
    return await _run(path, *arguments)


async def _run_counted_for_ever(path, exchange, row, limit):
    try:
        return await _run(path, exchange, row, limit)
    except curio.CancelledError:
        path.permissions.begin(row.vm, row.epoch)
        raise


async def _stop_by_cutting(server):
    server.closing = True
    await server.accepting.cancel()
    await http.close(server.sock)
    for connection in list(server.connections):
        await connection.task.cancel()


async def _end_by_closing(connection):
    await http_watch._cancel(connection)


async def _stop_without_notice(running):
    await http_server.stop(running.server)
    await running.following.cancel()
    await membership.resign(running.node)


async def _stop_by_resigning(running):
    await running.following.cancel()
    await membership.resign(running.node)
    http_server.retire(running.server)
    await curio.sleep(running.settings.drain_notice_s)
    await http_server.stop(running.server)


async def _linger_not(connection):
    """Close at once."""


def _make_spending_state(of, data_centre, policy=None):
    policy = dispatch.Policy(spend=lambda budget: True)
    return _make_state(of, data_centre, policy)


def _make_unlimited_state(of, data_centre, policy=None):
    policy = dispatch.Policy(limit=lambda upstream, entries: 99)
    return _make_state(of, data_centre, policy)


async def _never_cut(running):
    """Let what is in flight go on."""


def _true(*arguments):
    return True


def _none(*arguments):
    return None


CUT = 'proxy.py::test_cut_answer_is_never_whole'
BAD_INPUT = 'proxy.py::test_bad_input_is_refused'
RUN_AGAIN = 'proxy.py::test_only_idempotent_requests_run_again'
STOPS = 'entry.py::test_planned_stop_cuts_nothing_in_flight'
RANDOM = 'proxy_random.py::test_what_callers_are_told_is_true'
PROPERTIES = 'dispatch_properties.py::TestDispatching'

MUTANTS = (
    utils.planted(
        'cut-answer-passed-on-as-whole',
        KIND.WHOLE,
        CUT,
        (http_client, '_body', _body_that_ends_when_cut),
    ),
    utils.planted(
        'answer-without-length-accepted',
        KIND.WHOLE,
        CUT,
        (attempt, '_check_length', _none),
    ),
    utils.planted(
        'connection-reused-after-abandoned-answer',
        KIND.WHOLE,
        'connections.py::test_unfit_connection_is_dropped',
        (http_client, 'usable', _true),
    ),
    utils.planted(
        'bytes-left-taken-for-next-answer',
        KIND.WHOLE,
        'proxy.py::test_unasked_bytes_are_no_answer',
        (http_client, 'end_cycle', _end_cycle_with_bytes_left),
        (http_client, 'silent', _true),
    ),
    utils.planted(
        'owner-of-answer-not-checked',
        KIND.WHOLE,
        'proxy.py::test_answer_on_a_connection_of_another_request_is_refused',
        (attempt, '_check_own_answer', _none),
    ),
    utils.planted(
        'smuggling-check-off',
        KIND.WHOLE,
        BAD_INPUT,
        (request_headers, 'check_framing', _none),
    ),
    utils.planted(
        'written-bytes-not-noted',
        KIND.NOT_RUN,
        RUN_AGAIN,
        (http_client, 'write_some', _write_unnoted),
    ),
    utils.planted(
        'all-failures-not-run',
        KIND.NOT_RUN,
        RANDOM,
        (http_client, 'failure', _failure_as_not_run),
    ),
    utils.planted(
        'refusal-after-body-not-run',
        KIND.NOT_RUN,
        BAD_INPUT,
        (attempt, '_blame', _fault_as_not_run),
    ),
    utils.planted(
        'timeout-not-run',
        KIND.NOT_RUN,
        'proxy.py::test_upstream_that_hangs_is_given_up',
        (attempt, '_timed_out', _timed_out_as_not_run),
    ),
    utils.planted(
        'verdict-of-earlier-attempt-forgotten',
        KIND.NOT_RUN,
        PROPERTIES,
        (retry, 'combine', lambda earlier, latest: latest),
    ),
    utils.planted(
        'assertion-of-not-run-off',
        KIND.NOT_RUN,
        'proxy.py::test_not_run_is_told_only_if_all_attempts_prove_it',
        (exchanges, 'proven', lambda path, exchange, verdict: verdict),
    ),
    utils.planted(
        'lost-store-answer-not-run',
        KIND.NOT_RUN,
        'store_faults.py::test_writers_are_told_what_is_so',
        (store_client, '_gave_up', _gave_up_as_not_run),
    ),
    utils.planted(
        'failed-peer-call-not-run',
        KIND.NOT_RUN,
        'peer_grpc.py::test_handler_that_fails_may_have_run',
        (peer_grpc, '_verdict', lambda pending: NOT_RUN),
    ),
    utils.planted(
        'retry-after-may-have-run',
        KIND.ONCE,
        RUN_AGAIN,
        (verdicts, 'may_retry', _true),
    ),
    utils.planted(
        'retry-after-may-have-run-decided',
        KIND.ONCE,
        PROPERTIES,
        (retry, 'allowed', _true),
        mechanism='dispatch',
    ),
    utils.planted(
        'consumed-body-sent-again',
        KIND.ONCE,
        'dispatch.py::test_request_that_is_gone_is_not_repeated',
        (dispatch, 'finish', _finish_as_repeatable),
    ),
    utils.planted(
        'first-run-not-checked',
        KIND.ONCE,
        'proxy.py::test_second_run_is_stopped_before_the_write',
        (attempt, '_check_first_run', _none),
    ),
    utils.planted(
        'breaches-of-dispatcher-not-reported',
        KIND.ONCE,
        'entry.py::test_breaches_of_the_dispatcher_are_reported_once',
        (entry_parts, 'report_breaches', _none),
    ),
    utils.planted(
        'may-send-not-asked',
        KIND.LEAVING,
        'proxy.py::test_without_permission_nothing_is_sent',
        (attempt, '_send', _send_unasked),
    ),
    utils.planted(
        'may-send-asked-before-the-wait',
        KIND.LEAVING,
        'proxy.py::test_permission_is_asked_after_the_last_wait',
        (attempt, 'run', _run_asking_early),
    ),
    utils.planted(
        'request-path-not-told',
        KIND.LEAVING,
        'entry.py::test_leaving_upstream_gets_no_new_work',
        (entry_parts, '_mark', lambda view, now_s: (view.granted,)),
    ),
    utils.planted(
        'in-flight-not-counted',
        KIND.STOP,
        'proxy.py::test_request_counts_from_first_byte_to_end',
        (attempt, 'run', _run_uncounted),
    ),
    utils.planted(
        'in-flight-kept-after-cancellation',
        KIND.LEAVING,
        'proxy.py::test_caller_that_leaves_frees_the_upstream',
        (attempt, 'run', _run_counted_for_ever),
    ),
    utils.planted(
        'stop-closes-busy-connections',
        KIND.STOP,
        STOPS,
        (http_server, 'stop', _stop_by_cutting),
    ),
    utils.planted(
        'stop-drops-arrived-request',
        KIND.STOP,
        'http_server.py::test_request_that_was_sent_before_its_connection'
        '_ends_is_answered',
        (http_watch, 'end_input', _end_by_closing),
    ),
    utils.planted(
        'stop-without-notice',
        KIND.STOP,
        STOPS,
        (entry, 'stop', _stop_without_notice),
    ),
    utils.planted(
        'resigns-before-the-last-answer',
        KIND.STOP,
        STOPS,
        (entry, 'stop', _stop_by_resigning),
    ),
    utils.planted(
        'assertion-of-drained-stop-off',
        KIND.STOP,
        'entry.py::test_stop_that_leaves_a_request_is_reported',
        (entry, '_check_drained', _none),
    ),
    utils.planted(
        'kept-connection-not-told',
        KIND.STOP,
        'entry.py::test_kept_connection_is_told_of_the_stop',
        (http_server, 'retire', _none),
    ),
    utils.planted(
        'streams-outlast-isolation',
        KIND.ONE_POOL,
        'entry.py::test_streams_end_cut_once_contact_is_long_lost',
        (entry, '_cut_if_due', _never_cut),
    ),
    utils.planted(
        'refused-answer-reset',
        KIND.WHOLE,
        BAD_INPUT,
        (http_accepted, 'linger', _linger_not),
    ),
    utils.planted(
        'retries-without-budget',
        KIND.TASKS,
        PROPERTIES,
        (dispatch, 'make_state', _make_spending_state),
        mechanism='retry',
    ),
    utils.planted(
        'quotas-not-taken',
        KIND.TASKS,
        PROPERTIES,
        (quotas, 'take', lambda *arguments: 0.0),
    ),
    utils.planted(
        'limit-of-upstream-ignored',
        KIND.TASKS,
        PROPERTIES,
        (dispatch, 'make_state', _make_unlimited_state),
        mechanism='routing',
    ),
)
