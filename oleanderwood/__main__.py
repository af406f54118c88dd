"""Run a server, as ``python -m oleanderwood`` does."""

import signal

# By default, this signal would end the process while it imports the server.
# The server reads its settings again once it handles the signal.
signal.signal(signal.SIGHUP, signal.SIG_IGN)

from oleanderwood import server  # noqa: E402

main = server.main

if __name__ == '__main__':
    main()
