"""What a request's target names: a host and a path."""

import urllib.parse

from oleanderwood import errors


def split(target: str, host: str) -> tuple[str, str]:
    """Give the host and the path that a target names, without its query.

    A path that begins with two slashes names no host.

    :param host: as the request's header names it; a whole URL goes before
    :raises errors.BadMessage: 400, it is neither a path nor a URL
    """
    if target.startswith('/'):
        return host, target.partition('?')[0].partition('#')[0]
    try:
        url = urllib.parse.urlsplit(target)
    except ValueError as error:
        raise errors.BadMessage(400, 'the target is no URL') from error
    if url.scheme not in ('http', 'https') or not url.netloc:
        raise errors.BadMessage(400, 'the target is neither path nor URL')
    return url.netloc, url.path or '/'
