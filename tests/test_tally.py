"""Tests of the counts of calls by kind and time, and of their peaks."""

import curio
import pytest

from measure import herd
from oleanderwood import http
from standins import faults
from standins import store
from standins import tally


def _request(method='GET', target='/v1/keys/a'):
    return http.Request(method, target, [(b'content-length', b'3')], None)


def test_calls_count_also_while_the_store_is_down():
    counted = tally.Tally(clock=lambda: 7.05)
    control = faults.Control()

    async def answer(request):
        return http.Response(200, [], b'four')

    handler = tally.observed(
        counted, store.kind_of, faults.faulty(control, answer)
    )
    curio.run(handler, _request())
    curio.run(handler, _request(target='/counts'))
    control.faults = faults.Faults(down=True)
    with pytest.raises(ConnectionResetError):
        curio.run(handler, _request())
    (found,) = counted.bins.values()
    assert (found.kind, found.calls, found.size_bytes) == ('get', 2, 10)
    assert counted.waiting['get'] == 0


def test_going_down_cuts_a_waiting_watch():
    async def scenario():
        state = store.State(faults.Control())
        handler = store.handler(state)
        lapsing = await curio.spawn(store.lapse, state, daemon=True)
        request = _request(target='/v1/keys/a?watch=0&wait_s=30')
        watching = await curio.spawn(handler, request)
        await curio.sleep(0)
        state.control.faults = faults.Faults(down=True)
        try:
            await watching.join()
        finally:
            await lapsing.cancel()

    with pytest.raises(curio.TaskError) as caught:
        curio.run(scenario)
    assert isinstance(caught.value.__cause__, ConnectionResetError)


def test_peak_is_the_most_within_any_second():
    bins = [tally.Bin(at_s, 'get', 2) for at_s in (0.5, 0.9, 1.4, 1.5, 9.0)]
    assert herd.peak(bins, 0.0, 5.0) == 6
