"""Names of fields in the store and in messages between servers.

During an upgrade, servers of two versions share the store, and accepted jobs
outlive the servers that accepted them. A field whose attribute is renamed in
the code therefore keeps the name under which it was first stored, so that
each version can read what the other wrote.
"""

STEP = {
    'guess_ms': 'estimate_ms',
    'one_rack': 'same_rack',
    'is_long_running': 'long_running',
    'max_unavailable': 'may_miss',
}
WORK = {'repeat_every_ms': 'interval_ms'}
QUEUE = {'most_attempts': 'max_attempts'}
