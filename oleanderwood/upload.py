"""Access to the body of a request on its way to the upstream."""

import dataclasses
import logging
import time

import curio
import h11

from oleanderwood import errors
from oleanderwood import exchange as exchanges
from oleanderwood import http_client

LOG = logging.getLogger('entry')


@dataclasses.dataclass
class Upload:
    """A body on its way from the caller to the upstream.

    :ivar reading: whether it waits for the caller
    :ivar moved_s: when the last piece was had or handed over
    :ivar fault: why the caller's body can't be had
    """

    task: curio.Task | None = None
    reading: bool = False
    moved_s: float = 0.0
    done: bool = False
    fault: Exception | None = None


async def run(
    exchange: exchanges.Exchange,
    connection: http_client.Connection,
    upload: Upload,
) -> None:
    """Carry the body over; a caller's fault ends the upstream's input."""
    exchange.body_started = True
    size_bytes = 0
    try:
        while piece := await _read(exchange, upload):
            size_bytes += len(piece)
            if size_bytes > exchange.service.max_body_bytes:
                raise errors.BadMessage(413, 'the body is too large')
            await http_client.send_events(connection, h11.Data(data=piece))
            upload.moved_s = time.monotonic()
        await http_client.send_events(connection, h11.EndOfMessage())
        upload.moved_s = time.monotonic()
        upload.done = True
    except errors.CallFailed as error:
        # The upstream may have answered early and stopped reading.
        LOG.debug('Upload of %s ended: %s', exchange.request_id, error)
    except (OSError, errors.BadMessage) as error:
        upload.fault = error
        await http_client.shut(connection)


async def _read(exchange: exchanges.Exchange, upload: Upload) -> bytes:
    upload.reading = True
    piece = await exchange.request.body.read()
    upload.reading = False
    upload.moved_s = time.monotonic()
    return piece
