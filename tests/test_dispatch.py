"""Tests of dispatch."""

from oleanderwood import dispatch
from oleanderwood import verdict as verdicts
from tests import utils_admission as utils

RAN = dispatch.Outcome(verdicts.Verdict.RAN, 200, 0.1)
NOT_RUN = dispatch.Outcome(verdicts.Verdict.NOT_RUN, 0, 0.0)
MAY_HAVE_RUN = dispatch.Outcome(verdicts.Verdict.MAY_HAVE_RUN, 0, 0.1)


def test_request_starts_at_once():
    state = utils.make_state()
    (start,) = dispatch.arrive(state, utils.make_ask(1), 0.0, utils.make_rng())
    assert isinstance(start, dispatch.Start)
    assert dispatch.finish(state, 1, RAN, 0.1, utils.make_rng()) == []
    assert not state.requests


def test_not_run_is_retried_within_budget_only():
    state = utils.make_state()
    rng = utils.make_rng()
    dispatch.arrive(state, utils.make_ask(1), 0.0, rng)
    (again,) = dispatch.finish(state, 1, NOT_RUN, 0.1, rng)
    assert isinstance(again, dispatch.Start)
    (refusal,) = dispatch.finish(state, 1, NOT_RUN, 0.1, rng)
    assert refusal.verdict is verdicts.Verdict.NOT_RUN


def test_may_have_run_is_final():
    state = utils.make_state()
    rng = utils.make_rng()
    dispatch.arrive(state, utils.make_ask(1), 0.0, rng)
    (refusal,) = dispatch.finish(state, 1, MAY_HAVE_RUN, 0.1, rng)
    assert refusal.verdict is verdicts.Verdict.MAY_HAVE_RUN


def test_retry_goes_elsewhere():
    state = utils.make_state()
    rng = utils.make_rng()
    (start,) = dispatch.arrive(state, utils.make_ask(1), 0.0, rng)
    (again,) = dispatch.finish(state, 1, NOT_RUN, 0.1, rng)
    assert again.upstream != start.upstream


def test_request_that_is_gone_is_not_repeated():
    state = utils.make_state()
    rng = utils.make_rng()
    dispatch.arrive(state, utils.make_ask(1), 0.0, rng)
    outcome = dispatch.Outcome(
        verdicts.Verdict.NOT_RUN, 0, 0.0, repeatable=False
    )
    (refusal,) = dispatch.finish(state, 1, outcome, 0.1, rng)
    assert isinstance(refusal, dispatch.Refuse)


def test_lost_grant_costs_no_retry_and_no_health():
    state = utils.make_state(retry_share=0.0)
    rng = utils.make_rng()
    gone = dispatch.Outcome(
        verdicts.Verdict.NOT_RUN, 0, 0.0, upstream_failed=False
    )
    for ticket in range(1, 6):
        dispatch.arrive(state, utils.make_ask(ticket), 0.0, rng)
        (again,) = dispatch.finish(state, ticket, gone, 0.1, rng)
        assert isinstance(again, dispatch.Start)
        dispatch.finish(state, ticket, RAN, 0.2, rng)
    healths = state.services[utils.SERVICE].upstreams.healths.values()
    assert not any(health.failures for health in healths)


def test_nothing_is_retried_while_all_fail():
    state = utils.make_state(retry_share=1.0)
    rng = utils.make_rng()
    for ticket in range(6):
        dispatch.arrive(state, utils.make_ask(ticket), 0.0, rng)
        made = dispatch.finish(state, ticket, NOT_RUN, 0.1, rng)
        while isinstance(made[0], dispatch.Start):
            made = dispatch.finish(state, ticket, NOT_RUN, 0.1, rng)
    assert state.services[utils.SERVICE].budget.retries <= 2
