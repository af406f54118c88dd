"""Names under which fields lie in the store and pass between servers.

Servers of two versions share the store while they are replaced, and jobs that
were accepted before outlive the servers that took them. So a field keeps the
name it was first written under, though the code calls it otherwise: each
version reads what the other wrote.
"""

STEP = {
    'guess_ms': 'estimate_ms',
    'one_rack': 'same_rack',
    'lasting': 'long_running',
    'most_away': 'may_miss',
}
WORK = {'repeat_every_ms': 'interval_ms'}
QUEUE = {'most_attempts': 'max_attempts'}
