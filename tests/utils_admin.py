"""The administration API over a network of entries and a fake store."""

import dataclasses
import itertools

import curio

from oleanderwood import admin_api
from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import history
from oleanderwood import http_server
from oleanderwood import ids
from oleanderwood import operators
from oleanderwood import platform_api
from oleanderwood import rollout_run
from oleanderwood import store
from oleanderwood import vm_listing
from tests import utils_configuration as build
from tests import utils_network
from tests import utils_store

WALL_S = 1_700_000_000.0


@dataclasses.dataclass
class Place:
    """Entries, the store and one administration daemon."""

    network: utils_network.Network
    api: admin_api.Api
    gone: set
    vms: list

    @property
    def desk(self):
        """Give the daemon's desk."""
        return self.api.desk


def make(names=('e1', 'e2', 'e3'), token='', **limits):
    """Make entries and a daemon; nothing runs yet."""
    network = utils_network.Network()
    for name in names:
        utils_network.add(network, name)
    return Place(network, *_daemon(network, token, limits))


def second(place):
    """Make another daemon over the same entries and store."""
    return Place(place.network, *_daemon(place.network, '', {}))


def _daemon(network, token, limits):
    gone, vms = set(), [build.vms()]
    counter = itertools.count(1)
    prefix = f'd{id(gone)}'

    async def is_gone(member):
        return member.entry in gone

    async def list_vms(version):
        return platform_api.VmListing(version + 1, vms[0])

    settings = {'prepare_limit_s': 1.0, 'commit_limit_s': 1.0} | limits
    links = rollout_run.Links(
        kept=utils_store.connect(network.fake, limit_s=0.02),
        peers=utils_network.calls(network),
        gone=is_gone,
        retry_s=0.01,
        wall_clock=lambda: WALL_S,
        **settings,
    )
    desk = operators.Desk(
        links,
        vm_listing.Reader(list_vms),
        lambda: ids.OperationId(f'{prefix}-{next(counter)}'),
    )
    return admin_api.Api(desk, token, lambda: {'of': 'admin'}), gone, vms


def toml(**pool):
    """Give the text of a sound file."""
    fields = {'size': 6, 'min_up': 4} | pool
    lines = [f'{name} = {value}' for name, value in fields.items()]
    return '\n'.join(
        [
            '[[services]]',
            "name = 'drafts'",
            "path_prefix = '/drafts'",
            '[[pools]]',
            "name = 'drafts'",
            "service = 'drafts'",
            f"region = '{build.REGION}'",
            f'data_centres = {list(build.DATA_CENTRES)}',
            *lines,
            '[[waves]]',
            "name = 'monthly'",
            "pools = ['drafts']",
        ]
    )


def run(place, scenario):
    """Run a scenario once all entries have joined."""

    async def joined():
        for node in place.network.members.values():
            await utils_network.until(lambda node=node: node.view.granted)
        await scenario()

    utils_network.run(place.network, joined)


async def serve(place, use):
    """Run ``use(address)`` while the API is served."""
    handler = admin_api.make_handler(place.api)
    server = http_server.listen(ids.Address('127.0.0.1:0'), handler)
    task = await curio.spawn(http_server.run, server)
    try:
        return await use(server.address)
    finally:
        await http_server.stop(server)
        await task.join()


def head(place):
    """Give the head in the store, None if there is none."""
    body = utils_store.body(place.network.fake, store.CONFIG_HEAD_KEY)
    return None if body is None else codec.unpack(body, configuration.Head)


def records(place):
    """Give the records of the history in the store."""
    body = utils_store.body(place.network.fake, history.KEY)
    if body is None:
        return ()
    return codec.unpack(body, history.History).records


def stored_parts(place):
    """Give the references of all parts in the store."""
    prefix = store.CONFIG_PART_PREFIX
    keys = place.network.fake.items
    return {key[len(prefix) :] for key in keys if key.startswith(prefix)}


def in_force(place):
    """Give the revision in force at each entry, 0 for none."""
    heads = (n.view.config.head for n in place.network.members.values())
    return [0 if found is None else found.revision for found in heads]
