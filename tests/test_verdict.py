"""Tests of verdict."""

import pytest

from oleanderwood import verdict as verdicts


@pytest.mark.parametrize(
    ('verdict', 'idempotent', 'expected'),
    [
        (verdicts.Verdict.NOT_RUN, False, True),
        (verdicts.Verdict.NOT_RUN, True, True),
        (verdicts.Verdict.MAY_HAVE_RUN, False, False),
        (verdicts.Verdict.MAY_HAVE_RUN, True, True),
        (verdicts.Verdict.RAN, False, False),
        (verdicts.Verdict.RAN, True, False),
    ],
)
def test_may_retry(verdict, idempotent, expected):
    assert verdicts.may_retry(verdict, idempotent) is expected
