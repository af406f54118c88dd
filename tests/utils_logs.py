"""Rows of saved logs, as oleanderwood.operators.explain.read gives them."""

from oleanderwood.operators import causes

LEADER = 's1'
OTHER = 's2'


def row(time_s, part, event, node=LEADER, **fields):
    """Return a row of a server's log."""
    base = {'time_s': time_s, 'part': part, 'event': event, 'node': node}
    return {**base, **fields}


def leads(time_s, node=LEADER):
    """Return the rows of a server that begins to lead."""
    return [
        row(time_s, 'leader', 'took-over', node, term=1),
        row(time_s, 'leader', 'leads', node, term=1),
    ]


def handed_in(time_s, job='j', verdict='ran', **fields):
    """Return the row of a call that handed a job in."""
    fields = {'queue': 'q', 'tenant': 'acme', **fields}
    node = fields.pop('node', OTHER)
    return row(
        time_s, 'caller', 'handed-in', node, job=job, verdict=verdict, **fields
    )


def not_admitted(time_s, why, job='j', **fields):
    """Return the row of a call that was refused for lack of capacity."""
    return row(
        time_s,
        'caller',
        'not-admitted',
        OTHER,
        job=job,
        queue='q',
        tenant='acme',
        wait_s=4.0,
        retry_after_s=1,
        holder='globex',
        why=why,
        **fields,
    )


def taken(time_s, job='j', tasks=1, steps=1, **fields):
    """Return the row of a job that a leader takes."""
    fields = {'traits': [], **fields}
    return row(
        time_s,
        'job',
        'taken',
        job=job,
        queue='q',
        pool='p',
        steps=steps,
        task_count=tasks,
        stretch=1.6,
        objective_ms=600,
        **fields,
    )


def run(begin_s, end_s, task='0.0.0', job='j'):
    """Return the rows of a run that ends well."""
    name = {'task': f'{job}.{task}', 'attempt': 1}
    return [
        row(begin_s, 'run', 'start', outcome='ran', **name),
        row(end_s, 'run', 'done', **name),
    ]


def ended(time_s, job='j', state='completed', **fields):
    """Return the row of a job that ends."""
    return row(time_s, 'job', 'ended', job=job, state=state, **fields)


def gap(since_s, until_s, other=0, decisive=0, node=LEADER, after_s=0.001):
    """Return a row that states what its server dropped."""
    return row(
        until_s + after_s,
        'worker',
        'met',
        node,
        dropped=other,
        dropped_decisive=decisive,
        dropped_since_s=since_s,
        dropped_until_s=until_s,
    )


def by_time(*rows):
    """Return rows and lists of rows, in order of time."""
    flat = []
    for item in rows:
        flat += item if isinstance(item, list) else [item]
    return sorted(flat, key=lambda row: row['time_s'])


def find(*rows):
    """Return the finding of the only job."""
    (finding,) = causes.find(by_time(*rows))
    return finding
