"""Builders of members, shards, configurations and views."""

from oleanderwood import config_state
from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import grants
from oleanderwood import messages
from oleanderwood import platform_api
from oleanderwood import roster
from oleanderwood import view

REGION = 'ljubljana'
DATA_CENTRE = 'dc-1'
POOL = 'drafts'


def member(name='e1', incarnation=None, region=REGION, port=1):
    """Make a member named ``name``; each name has its own peer port."""
    number = port + sum(name.encode())
    return roster.Member(
        name,
        incarnation or f'{name}-1',
        region,
        DATA_CENTRE,
        f'vm-{name}',
        f'127.0.0.1:{number}',
    )


def row(vm='vm-1', epoch=1, state=fleet.VmState.SERVING, pool=POOL):
    """Make a row."""
    return fleet.VmRow(vm, pool, state, epoch, 'rack-1', '127.0.0.1:9')


def shard(revision=1, rows=None, data_centre=DATA_CENTRE, term=1):
    """Make a shard; by default of one VM that serves."""
    rows = (row(),) if rows is None else tuple(rows)
    return fleet.Shard(data_centre, revision, term, rows)


def content(data_centres=(DATA_CENTRE,), size=1):
    """Make a configuration of one pool."""
    pool = configuration.Pool(
        name=POOL,
        service=POOL,
        region=REGION,
        data_centres=tuple(data_centres),
        size=size,
        min_up=0,
    )
    service = configuration.Service(name=POOL, path_prefix='/')
    return configuration.Configuration(pools=(pool,), services=(service,))


def head(revision=1, operation=None):
    """Make a head."""
    operation = operation or f'apply-{revision}'
    return configuration.Head(revision, revision - 1, {}, operation)


def joined(name='e1', now_s=0.0, revision=1):
    """Make the view of an entry that serves."""
    made = view.make(member(name))
    config_state.apply(made.config, head(), content())
    grants.apply_shard(made.grants, shard(revision))
    view.contact(made, now_s, now_s)
    view.grant(made)
    return made


def release_reply(of, revision=1, ages=None, in_flight=None, up_s=1000.0):
    """Make a member's reply to a release call."""
    return messages.ReleaseReply(
        of.entry, of.incarnation, revision, in_flight or {}, ages or {}, up_s
    )


def leaving(vm='vm-1', version=1):
    """Make a VM list by which one VM is leaving."""
    listed = platform_api.ListedVm(
        vm,
        REGION,
        DATA_CENTRE,
        'rack-1',
        '127.0.0.1:9',
        platform_api.VmStatus.LEAVING,
    )
    return platform_api.VmListing(version, (listed,))
