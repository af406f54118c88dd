"""Access to ``python -m demo.stay``: one deployment that waits for you.

Starts a user's deployment on loopback, applies its file, and runs it until
Ctrl-C. No process is left behind.
"""

import contextlib

import curio
import cyclopts

from demo import daemons
from demo import deployments
from demo import processes
from oleanderwood import daemon


async def stay(run: processes.Run, name: str, size: deployments.Size) -> None:
    """Run a deployment until SIGTERM or SIGINT."""
    file = deployments.file_with_wave(run, name, pools=1)
    deployment = await deployments.start(run, name, file, size, 0)
    await daemons.start_all(deployment)
    print('For the commands of README.md, in another shell:\n')
    for line in hints(deployment):
        print(f'    {line}', flush=True)
    print('\nCtrl-C ends it.', flush=True)
    await daemon.until_stopped()


def hints(deployment: deployments.Deployment) -> list[str]:
    """Give the shell variables that the commands of the tour use."""
    vms = deployment.vms[: deployment.size.admins]
    admins = ' '.join(vm.admin for vm in vms)
    return [
        f'export OLEANDER_ADMIN="{admins}"',
        f'file={deployment.file}',
        f'callers={deployment.callers}',
        f'probes={deployment.vms[0].entry_probes}',
    ]


def main(
    deployment: str = 'klapa',
    *,
    entries: int = 6,
    controllers: int = 3,
    admins: int = 2,
) -> None:
    """Run a deployment until Ctrl-C.

    :param deployment: klapa or ascensia
    :param entries: VMs of the system's own
    :param controllers: how many of them run a controller
    :param admins: how many of them run the administration API
    """
    size = deployments.Size(entries, controllers, admins)
    with contextlib.suppress(KeyboardInterrupt):
        with processes.running() as run:
            curio.run(stay, run, deployment, size)


if __name__ == '__main__':
    cyclopts.run(main)
