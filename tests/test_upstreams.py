"""Tests of upstreams: what changed is taken over, and nothing else."""

import random
from unittest import mock

import prometheus_client

from oleanderwood import configuration
from oleanderwood import dispatch
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import permissions
from oleanderwood import proxy as proxies
from oleanderwood import upstreams

REGION = ids.Region('r')
DATA_CENTRE = ids.DataCentre('dc')


def _proxy():
    allowed = permissions.Permissions(
        may_send=lambda *_: True, begin=lambda *_: None, end=lambda *_: None
    )
    registry = prometheus_client.CollectorRegistry()
    rng = random.Random(1)
    entry = ids.EntryId('e')
    return proxies.create(entry, 'i', DATA_CENTRE, allowed, registry, rng)


def _row(name, epoch=1):
    return fleet.VmRow(
        ids.VmId(f'{name}-vm'),
        ids.PoolId(name),
        fleet.VmState.SERVING,
        ids.Epoch(epoch),
        ids.Rack('rack'),
        ids.Address('127.0.0.1:1'),
    )


def _facts(rows, timeout_s=1.0):
    names = sorted(rows)
    content = configuration.Configuration(
        pools=tuple(
            configuration.Pool(
                name=name,
                service=name,
                region=REGION,
                data_centres=(DATA_CENTRE,),
                size=1,
                min_up=0,
            )
            for name in names
        ),
        services=tuple(
            configuration.Service(
                name=name, path_prefix=f'/{name}', timeout_s=timeout_s
            )
            for name in names
        ),
    )
    return upstreams.Facts(
        content=content,
        region=REGION,
        entries={ids.EntryId('e'): DATA_CENTRE},
        data_centres={row.vm: DATA_CENTRE for row in rows.values()},
        serving=lambda pool: (rows[pool],) if rows[pool] else (),
    )


def _taken(proxy, facts):
    """Take facts over; give the services whose upstreams were set."""
    with mock.patch.object(
        dispatch, 'set_upstreams', wraps=dispatch.set_upstreams
    ) as called:
        upstreams.take_over(proxy, facts, 0.0)
    return [call.args[1] for call in called.call_args_list]


def test_only_services_whose_rows_changed_are_set():
    proxy = _proxy()
    rows = {'a': _row('a'), 'b': _row('b')}
    assert _taken(proxy, _facts(rows)) == ['a', 'b']
    assert _taken(proxy, _facts(rows)) == []
    rows['b'] = _row('b', epoch=2)
    assert _taken(proxy, _facts(rows)) == ['b']
    assert proxy.rows[ids.VmId('b-vm')].epoch == 2


def test_new_configuration_sets_all_services_anew():
    proxy = _proxy()
    rows = {'a': _row('a'), 'b': _row('b')}
    upstreams.take_over(proxy, _facts(rows), 0.0)
    assert _taken(proxy, _facts(rows, timeout_s=2.0)) == ['a', 'b']
    service = proxy.tickets.state.services['a']
    assert [up.serving for up in service.upstreams.by_vm.values()] == [True]
