"""Emulated days with tenants: keys, limits, strangers, and troubles beside."""

import pytest

from emulator import day
from emulator import evidence as evidences
from emulator import tenancy as tenancies
from emulator import tenant_rules
from emulator import troubles
from oleanderwood.frontend import forwarding
from oleanderwood.frontend import freshness
from oleanderwood.frontend import handler
from oleanderwood.leading import lease
from oleanderwood.pools import quotas
from oleanderwood.tenants import access

Kind = troubles.Kind

LENGTH_S = 10.0


def _plan(seed, *kinds, **fields):
    rows = [
        troubles.Trouble(kind, 2.0 + 0.3 * number, 7.0)
        for number, kind in enumerate(kinds)
    ]
    return day.Plan(
        seed,
        length_s=LENGTH_S,
        troubles=tuple(rows),
        finish_s=tenancies.FINISH_S,
        tenants=4,
        **fields,
    )


PAIRS = {
    'calm': (),
    'series-of-keys': (Kind.KEYS_REVOKED, Kind.KEY_REVOKED),
    'keys-and-servers-cut': (Kind.SERVERS_CUT, Kind.KEYS_REVOKED),
    'keys-and-leader-refused': (Kind.LEADER_REFUSED, Kind.KEYS_REVOKED),
    'keys-and-store-away': (Kind.STORE_SILENT, Kind.KEYS_REVOKED),
    'keys-and-history-lost': (Kind.HISTORY_LOST, Kind.KEYS_REVOKED),
    'keys-and-pause': (Kind.LEADER_SUSPENDED, Kind.KEYS_REVOKED),
    'keys-and-all-killed': (Kind.ALL_KILLED, Kind.KEYS_REVOKED),
    'limits-and-takeover': (Kind.LIMITS_FALL, Kind.LEADER_KILLED),
    'limits-and-late-orders': (Kind.LIMITS_FALL, Kind.ORDERS_LATE),
    'limits-and-crash': (Kind.LIMITS_FALL, Kind.EXECUTOR_CRASHED),
}


@pytest.mark.parametrize('kinds', PAIRS.values(), ids=PAIRS)
def test_no_rule_on_tenants_is_broken(kinds):
    result = day.play(_plan(11, *kinds))
    assert not result.breaches and not result.unfinished
    assert result.accepted >= 15


def test_strangers_and_tenants_both_call():
    """The days above show something: both kinds of keys are shown."""
    seen = []
    real = tenant_rules.check

    def check(tenancy, evidence, jobs):
        seen.append(tenancy)
        return real(tenancy, evidence, jobs)

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(tenant_rules, 'check', check)
        day.play(_plan(11, Kind.KEYS_REVOKED))
    calls = seen[0].calls
    assert sum(call.status == 401 for call in calls) > 50
    assert sum(call.status == 200 for call in calls) > 50


def _trusts_any_answer(patch):
    async def note(server, sent_s):
        await real(server, sent_s)
        freshness.record_reading(server, sent_s)

    real = lease.note_contact
    patch.setattr(lease, 'note_contact', note)
    # Without this its own answer would be too old for all keys at once.
    patch.setattr(freshness, 'SLACK_S', -20.0)


def _trusts_its_keys_for_good(patch):
    patch.setattr(freshness, 'is_recent', lambda server: True)


def _keeps_revoked_keys(patch):
    def judge(tenants, public, shown, revoked):
        if shown in revoked.keys:
            return revoked.keys[shown][0]
        return real(tenants, public, shown, revoked)

    real = access.authenticate
    patch.setattr(access, 'authenticate', judge)


def _lets_anybody_in(patch):
    patch.setattr(access, 'authenticate', lambda *arguments: 't0')


def _touches_any_job(patch):
    patch.setattr(access, 'may_access', lambda owner, tenant: True)


def _judges_by_any_configuration(patch):
    """A relay answers though its own configuration is as old."""

    def needs(server, call):
        return real(server, call) and not isinstance(call, _Passed)

    async def take(frontend, body):
        passed = handler.codec.decode(body, forwarding.ForwardedCall)
        call = _Passed(
            passed.method, passed.host, passed.path, passed.key, passed.body
        )
        response = await handler._serve(frontend, call)
        return forwarding.ForwardedAnswer(
            response.status, response.headers, response.body
        )

    real = handler._needs_recent_configuration
    patch.setattr(handler, '_needs_recent_configuration', needs)
    patch.setattr(handler, 'handle_forwarded_call', take)


class _Passed(handler.Call):
    pass


def _counts_no_limits(patch):
    patch.setattr(quotas, 'allows', lambda *arguments: True)


def _forgets_runs_of_silent_workers(patch):
    def make(policy, workers, ledger, *rest):
        quotas = real(policy, workers, ledger, *rest)
        for worker in workers:
            if worker.silent_since_s is not None:
                for task in worker.runs.values():
                    used = quotas.used.get(task.group.entry.job.tenant)
                    if used is not None:
                        needs = task.group.step.needs
                        used.cpu_millicores -= needs.cpu_millicores
        return quotas

    real = quotas.make
    patch.setattr(quotas, 'make', make)


DEFECTS = {
    'trusts keys for good': (
        _trusts_its_keys_for_good,
        (Kind.SERVERS_CUT, Kind.KEYS_REVOKED),
    ),
    'trusts keys after any answer of the store': (
        _trusts_any_answer,
        (Kind.SERVERS_CUT, Kind.KEYS_REVOKED),
    ),
    'keeps revoked keys': (_keeps_revoked_keys, (Kind.KEYS_REVOKED,)),
    'lets anybody in': (_lets_anybody_in, ()),
    'shows any job to any tenant': (_touches_any_job, ()),
    'judges for others by an old configuration': (
        _judges_by_any_configuration,
        (Kind.SERVERS_CUT, Kind.KEYS_REVOKED),
    ),
    'knows no limits': (_counts_no_limits, (Kind.LIMITS_FALL,)),
    'forgets the runs of silent workers': (
        _forgets_runs_of_silent_workers,
        3 * (Kind.EXECUTOR_HIDDEN,),
    ),
}


@pytest.mark.parametrize(('plant', 'kinds'), DEFECTS.values(), ids=DEFECTS)
def test_planted_defect_is_found(plant, kinds, monkeypatch):
    plant(monkeypatch)
    rules = ('ROUTE', 'CONFIG', 'QUOTA')
    for seed in range(11, 19):
        result = day.play(_plan(seed, *kinds, jobs_per_s=6.0))
        if any(row.startswith(rules) for row in result.breaches):
            return
    raise AssertionError('eight days show nothing')


def _tenancy(*versions):
    tenancy = tenancies.Tenancy({}, None, 1000)
    tenancy.owner['a'] = 't'
    tenancy.versions = [
        tenancies.Version(at_s, frozenset(keys), limits)
        for at_s, keys, limits in versions
    ]
    return tenancy


def test_checker_tells_a_call_with_a_key_that_is_long_gone():
    tenancy = _tenancy((0.0, ['k'], {}), (10.0, [], {}))
    for sent_s, broken in ((9.0, 0), (14.9, 0), (15.1, 1)):
        tenancy.calls = [tenancies.Call(sent_s, 'k', 'GET', 200)]
        found = tenant_rules.check(tenancy, evidences.Evidence(), {})
        assert len(found) == broken


def test_checker_tells_a_good_key_that_is_refused():
    tenancy = _tenancy((0.0, ['k'], {}), (10.0, ['k', 'n'], {}))
    rows = ((12.0, 'k', 1), (12.0, 'n', 0), (13.1, 'n', 1))
    for sent_s, key, broken in rows:
        tenancy.calls = [tenancies.Call(sent_s, key, 'GET', 401)]
        found = tenant_rules.check(tenancy, evidences.Evidence(), {})
        assert len(found) == broken


def test_checker_lets_a_key_be_refused_that_goes_before_the_answer():
    """Lab 1014: sent at 12.23, key taken away at 12.61, answered at 14.56."""
    tenancy = _tenancy((0.0, ['k'], {}), (12.61, [], {}))
    for answered_s, broken in ((14.56, 0), (12.5, 1)):
        call = tenancies.Call(12.23, 'k', 'GET', 401, True, answered_s)
        tenancy.calls = [call]
        found = tenant_rules.check(tenancy, evidences.Evidence(), {})
        assert len(found) == broken


def test_checker_counts_what_a_tenant_has_running():
    tenancy = _tenancy((0.0, [], {'t': 2000}))
    jobs = {'a': {'phases': [{'cpu': 1150}]}}
    evidence = evidences.Evidence()
    for index in range(4):
        evidences.note(
            evidence,
            float(index),
            evidences.Kind.STARTED,
            job='a',
            task=f'a.0.0.{index}',
            place=f'p{index}',
        )
    found = tenant_rules.check(tenancy, evidence, jobs)
    assert [row[:13] for row in found] == ['QUOTA at 2.00', 'QUOTA at 3.00']
