"""Access to builders of test data for admission and routing."""

import random

from oleanderwood import configuration
from oleanderwood import dispatch
from oleanderwood import ids

SERVICE = ids.ServiceId('finals')
TEAM = ids.TeamId('drama')


def make_rows(
    count: int = 2, slots: int = 8, connections: int = 64
) -> tuple[dispatch.UpstreamRow, ...]:
    """Make upstreams ``vm-0`` and on, all in ``dc-0``."""
    return tuple(
        dispatch.UpstreamRow(
            ids.VmId(f'vm-{number}'),
            ids.Epoch(1),
            ids.DataCentre('dc-0'),
            slots,
            connections,
        )
        for number in range(count)
    )


def make_state(
    upstreams: int = 2,
    slots: int = 8,
    entries: int = 1,
    requests_per_s: float = 1000.0,
    teams: tuple[str, ...] = (TEAM,),
    retry_share: float = 0.1,
) -> dispatch.State:
    """Make an entry's state with one service, at time 0."""
    state = dispatch.make_state(ids.EntryId('e-0'), ids.DataCentre('dc-0'))
    accepted = configuration.Configuration(
        services=(
            configuration.Service(
                name=SERVICE, path_prefix='/', retry_share=retry_share
            ),
        ),
        teams=tuple(
            configuration.Team(name=team, requests_per_s=requests_per_s)
            for team in teams
        ),
    )
    dispatch.set_configuration(state, accepted, 0.0)
    names = tuple(ids.EntryId(f'e-{n}') for n in range(entries))
    dispatch.set_entries(state, names, 0.0)
    dispatch.set_upstreams(state, SERVICE, make_rows(upstreams, slots), 0.0)
    return state


def make_ask(
    ticket: int,
    deadline_s: float = 10.0,
    team: str = TEAM,
    priority: configuration.Priority = configuration.Priority.NORMAL,
    idempotent: bool = False,
) -> dispatch.Ask:
    """Make a request of the one service."""
    return dispatch.Ask(
        ticket, SERVICE, ids.TeamId(team), priority, deadline_s, idempotent
    )


def make_rng() -> random.Random:
    """Make a random source of a fixed seed."""
    return random.Random(1)
