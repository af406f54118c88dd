"""Access to generated operators' files for the slopes."""

import dataclasses

DATA_CENTRES = ('dc-1', 'dc-2', 'dc-3', 'dc-4', 'dc-5')
REGION = 'region-1'
POOLS_OF_SERVICE = 5


@dataclasses.dataclass(frozen=True)
class Shape:
    """What a generated deployment is made of.

    :ivar entries: own VMs; each runs an entry, the first also a controller
        and the administration API
    :ivar changes: configurations that are applied while it is measured
    """

    vms: int = 100
    pools: int = 26
    teams: int = 29
    entries: int = 3
    changes: int = 2
    data_centres: int = 3


def text(shape: Shape, change: int) -> str:
    """Give the operators' file.

    :param change: number of the change; it sets one service's timeout
    """
    parts = [_weights()]
    parts += [_service(number, change) for number in range(_services(shape))]
    parts += [_pool(shape, number) for number in range(shape.pools)]
    parts += [_team(number) for number in range(shape.teams)]
    parts.append(_wave())
    return '\n'.join(parts)


def _services(shape: Shape) -> int:
    return -(-shape.pools // POOLS_OF_SERVICE)


def _weights() -> str:
    return '[weights]\nbuffer = 1.0\nroll_out = 1.0\nmoves = 1.0\n'


def _service(number: int, change: int) -> str:
    timeout_s = 10.0 + (change if number == 0 else 0)
    return (
        '[[services]]\n'
        f"name = 's{number}'\n"
        f"path_prefix = '/s{number}'\n"
        f'timeout_s = {timeout_s}\n'
    )


def _pool(shape: Shape, number: int) -> str:
    each, more = divmod(shape.vms, shape.pools)
    size = each + (1 if number < more else 0)
    places = ', '.join(
        f"'{place}'" for place in DATA_CENTRES[: shape.data_centres]
    )
    return (
        '[[pools]]\n'
        f"name = 'p{number}'\n"
        f"service = 's{number // POOLS_OF_SERVICE}'\n"
        f"region = '{REGION}'\n"
        f'data_centres = [{places}]\n'
        f'size = {size}\n'
        f'min_up = {max(1, size - 1)}\n'
        "survives = 'nothing'\n"
    )


def _team(number: int) -> str:
    return (
        f"[[teams]]\nname = 't{number}'\nmax_tasks = 100\nmax_cores = 200.0\n"
    )


def _wave() -> str:
    return "[[waves]]\nname = 'w'\npools = ['p0']\ndeadline_s = 36000.0\n"
