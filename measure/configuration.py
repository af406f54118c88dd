"""Access to what one change of configuration costs at the design size.

Applies changes of one pool through the administration side over entries in
one process and a store in memory; counts the store's calls, the bytes that
are written, read and sent to entries, and processor time.
"""

import collections
import dataclasses
import sys
import time

import cyclopts

from oleanderwood import apply
from oleanderwood import codec
from oleanderwood import configuration
from oleanderwood import ids
from oleanderwood import operators
from oleanderwood import parts
from oleanderwood import plan
from oleanderwood import rollout_run
from oleanderwood import validation
from tests import utils_admin
from tests import utils_configuration

ENTRIES = 8
"""Entry VMs of one of today's users, the most."""


def _counting(
    kept: object, counts: collections.Counter[str]
) -> dict[str, object]:
    async def get(key):
        item = await kept.get(key)
        counts['calls'] += 1
        counts['read_bytes'] += len(item.value) if item else 0
        return item

    async def swap(key, value, version, operation, lease):
        counts['calls'] += 1
        counts['written_bytes'] += len(value)
        return await kept.swap(key, value, version, operation, lease)

    async def delete(key, version):
        counts['calls'] += 1
        await kept.delete(key, version)

    return {'get': get, 'swap': swap, 'delete': delete}


def _counted_links(
    links: rollout_run.Links, counts: collections.Counter[str]
) -> rollout_run.Links:
    kept = dataclasses.replace(links.kept, **_counting(links.kept, counts))
    calls = {}
    for name in ('prepare', 'commit'):
        calls[name] = _sending(getattr(links.peers, name), counts)
    peers = dataclasses.replace(links.peers, **calls)
    return dataclasses.replace(links, kept=kept, peers=peers)


def _sending(call: object, counts: collections.Counter[str]) -> object:
    async def send(address, request):
        counts['sent_bytes'] += len(codec.pack(request))
        return await call(address, request)

    return send


def _changed(
    whole: configuration.Configuration, number: int
) -> configuration.Configuration:
    """Change the budget of one pool."""
    pools = list(whole.pools)
    fields = {
        name: getattr(pools[number], name)
        for name in pools[number].__struct_fields__
    }
    fields['unavailability_budget_s'] = 4_000_000.0 + number
    pools[number] = configuration.Pool(**fields)
    sections = {name: getattr(whole, name) for name in parts.SECTIONS}
    sections['pools'] = tuple(pools)
    return configuration.Configuration(weights=whole.weights, **sections)


def _report(name: str, value: float, unit: str) -> None:
    sys.stdout.write(f'{name:40} {value:12.1f} {unit}\n')


def _decisions() -> None:
    """Measure the pure parts."""
    whole, vms = utils_configuration.design_size()
    situation = validation.Situation(vms=vms, fastest_cycle_s=60.0)
    started_s = time.process_time()
    validation.validate(whole, situation)
    _report('validate', (time.process_time() - started_s) * 1e3, 'ms')
    started_s = time.process_time()
    split = parts.split(whole)
    _report('split', (time.process_time() - started_s) * 1e3, 'ms')
    _report('parts', len(split), '')
    _report('largest part', max(map(len, split.values())), 'bytes')
    _report('all parts', sum(map(len, split.values())), 'bytes')
    _report('file, packed whole', len(codec.pack(whole)), 'bytes')
    started_s = time.process_time()
    plan.make(configuration.Configuration(), whole, vms, ())
    _report('plan from nothing', time.process_time() - started_s, 's')


def _applies(changes: int) -> None:
    """Measure applies of one change each."""
    place = utils_admin.make([f'e{n}' for n in range(ENTRIES)])
    whole, _ = utils_configuration.design_size()
    counts: collections.Counter[str] = collections.Counter()
    in_force_s = []

    async def one(number: int, wanted: configuration.Configuration) -> None:
        current = await operators.read_current(place.desk)
        wish = apply.Wish(wanted, ids.OperationId(f'op-{number}'))
        applied = await apply.run(place.desk.links, current, wish)
        if applied.outcome.value != 'accepted' or applied.missing:
            raise RuntimeError(f'not in force: {applied}')
        in_force_s.append(applied.in_force_s)

    async def scenario() -> None:
        await one(0, whole)
        await operators.read_current(place.desk)
        in_force_s.clear()
        place.desk.links = _counted_links(place.desk.links, counts)
        started_s = time.process_time()
        for number in range(1, changes + 1):
            await one(number, _changed(whole, number))
        used_s = time.process_time() - started_s
        counts['cpu_ms'] = used_s * 1e3

    utils_admin.run(place, scenario)
    for name, value in counts.items():
        _report(f'{name} a change', value / changes, '')
    _report('in force, the most', max(in_force_s) * 1e3, 'ms')


def main(*, changes: int = 20) -> None:
    """Measure, and print the figures.

    :param changes: how many changes are applied
    """
    _decisions()
    _applies(changes)


if __name__ == '__main__':
    cyclopts.run(main)
