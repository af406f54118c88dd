"""Scenes in which every start of a task needs advice."""

import json

import curio

from emulator import advice
from emulator import day
from emulator import servers
from emulator import store as stores
from tests import utils_takeover as build


async def need_advice(scene, plan: day.Plan) -> None:
    """Let the starts of all tasks need advice, and the servers know it.

    :param plan: the scene's, with advice among its features
    """
    service = scene.callers.world.advising = advice.Service()
    scene.network.handlers[servers.ADVICE_ADDRESS] = advice.make_handler(
        service
    )
    value = json.loads(day.configuration(plan.pools, plan.features))
    value['version'] += 1
    await stores.put(scene.store, 'op/config', json.dumps(value).encode())
    for process in scene.processes:
        process.advised = True
        await servers.start(scene.network, process)
    await curio.sleep(build.FINISH_S)
