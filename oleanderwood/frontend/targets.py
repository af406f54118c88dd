"""Split a request's target into host and path."""

import urllib.parse

from oleanderwood import errors


def split(target: str, host: str) -> tuple[str, str]:
    """Return the host and the path of a target, without its query.

    A path that begins with two slashes names no host.

    :param host: from the request's header; the host of an absolute URL has
        precedence
    :raises errors.BadMessage: 400, the target is neither a path nor a URL
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
