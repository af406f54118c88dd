"""Access to the routes: which service answers a request's path."""

import collections.abc
import dataclasses

from oleanderwood import configuration
from oleanderwood import errors


@dataclasses.dataclass(frozen=True)
class Routes:
    """The services in the order in which their paths are tried."""

    services: tuple[configuration.Service, ...] = ()


def make(services: collections.abc.Iterable[configuration.Service]) -> Routes:
    """Make the routes; the longest prefix of a path wins."""
    ordered = sorted(services, key=lambda s: (-len(s.path_prefix), s.name))
    return Routes(tuple(ordered))


def find(routes: Routes, target: str) -> configuration.Service | None:
    """Give the service of a request target; prefixes end at a ``/``."""
    path = target.partition('?')[0]
    for service in routes.services:
        prefix = service.path_prefix.rstrip('/')
        if path == prefix or path.startswith(prefix + '/'):
            return service
    return None


def origin_form(target: str) -> str:
    """Give a request target as path and query.

    :raises errors.BadMessage: it is neither a path nor a whole URL
    """
    if target.startswith('/'):
        return target
    scheme, separator, rest = target.partition('://')
    if not separator or scheme.lower() not in ('http', 'https'):
        raise errors.BadMessage(400, 'the request target is no path')
    slash = rest.find('/')
    return rest[slash:] if slash >= 0 else '/'
