"""Builders of small deployments of real processes for the fault tests."""

import contextlib
import pathlib

import curio

from demo import daemons
from demo import deployments
from demo import processes
from demo import scene as scenes

SMALL = """
[[services]]
name = 'drafts'
path_prefix = '/drafts'
idempotent = true
timeout_s = 5.0

[[services]]
name = 'finals'
path_prefix = '/finals'
idempotent = false
timeout_s = 5.0

[[services]]
name = 'units'
path_prefix = '/units'
idempotent = true
timeout_s = 5.0

[[pools]]
name = 'drafts'
service = 'drafts'
region = 'r-1'
data_centres = ['d-1', 'd-2']
size = 4
min_up = 2

[[pools]]
name = 'finals'
service = 'finals'
region = 'r-1'
data_centres = ['d-1', 'd-2']
size = 4
min_up = 2

[[pools]]
name = 'units'
service = 'units'
region = 'r-1'
data_centres = ['d-1', 'd-2']
size = 2
min_up = 1

[[teams]]
name = 'crews'
requests_per_s = 1000.0

[[waves]]
name = 'monthly'
pools = ['drafts', 'finals', 'units']
deadline_s = 600.0
"""


@contextlib.contextmanager
def small(entries=2, controllers=2, admins=2, number=0, seed=1):
    """Give the scene of a small deployment that is up and configured."""
    size = deployments.Size(
        entries=max(entries, controllers, admins),
        controllers=controllers,
        admins=admins,
        drain_s=0.1,
        reboot_s=0.5,
    )
    with processes.running() as run:
        file = run.directory / 'small.toml'
        file.write_text(SMALL)
        yield curio.run(_open, run, file, size, number, seed)


async def _open(run, file, size, number, seed):
    deployment = await deployments.start(run, 'small', file, size, number)
    await daemons.start_all(deployment)
    return scenes.make(deployment, seed)


def example(name):
    """Give the path of an example of an operators' file."""
    return pathlib.Path('examples') / f'{name}.toml'
