"""Access to what the placement measurement samples as it goes on."""

from measure import placement_state
from oleanderwood import task_row


def sample(loop: placement_state.Loop) -> None:
    """Sample utilisation, quotas and fairness by what the workers see."""
    figures = loop.figures
    alive = [
        copy
        for vm, here in loop.copies.items()
        if vm not in loop.lost
        for copy in here.values()
        if copy.state in placement_state.ALIVE
    ]
    up = [one for vm, one in loop.workers.items() if vm not in loop.lost]
    cores = sum(worker.cores for worker in up)
    capacity_gib = sum(worker.memory_gib for worker in up)
    used_gib = sum(
        placement_state.memory_gib(copy, loop.now_s) for copy in alive
    )
    figures.cores_used.append(
        sum(copy.truth.cores * copy.rate for copy in alive) / cores
    )
    figures.memory_used.append(used_gib / capacity_gib)
    figures.cores_short.append(_cores_short(loop) / cores)
    _check_quotas(loop, alive)
    _sample_fairness(loop)


def _cores_short(loop: placement_state.Loop) -> float:
    """Sum up the cores that copies would use and their worker hasn't."""
    short = 0.0
    for vm, here in loop.copies.items():
        used = sum(
            copy.truth.cores * copy.rate
            for copy in here.values()
            if copy.state in placement_state.ALIVE
        )
        short += max(used - loop.workers[vm].cores, 0.0)
    return short


def _check_quotas(
    loop: placement_state.Loop, alive: list[placement_state.Copy]
) -> None:
    held: dict[str, list[float]] = {}
    for copy in alive:
        job = loop.jobs.get(copy.job)
        if job is not None:
            team = held.setdefault(job.team, [0.0, 0.0, 0.0])
            team[0] += 1
            team[1] += copy.given.cores
            team[2] += copy.given.memory_gib
    for team in loop.inputs.teams:
        tasks, cores, memory = held.get(team.name, (0.0, 0.0, 0.0))
        loop.figures.quota_breaches += (
            tasks > team.max_tasks
            or cores > team.max_cores + 1e-6
            or memory > team.max_memory_gib + 1e-6
        )


def _sample_fairness(loop: placement_state.Loop) -> None:
    """Sample the least share of its quota that a team with work holds.

    As a ratio to the largest share, over the teams whose tasks wait in the
    same pool for room (not for their quota).
    """
    held: dict[tuple[str, str], float] = {}
    waiting: set[tuple[str, str]] = set()
    total: dict[str, float] = {}
    for row in loop.table.rows.values():
        job = loop.jobs.get(row.job)
        if job is None or job.name in loop.inputs.impossible:
            continue
        if row.phase in task_row.LIVE:
            total[job.team] = total.get(job.team, 0.0) + row.cores
        elif row.phase is task_row.Phase.WAITING and not row.failures:
            waiting.add((job.pool, job.team))
    limits = {team.name: team.max_cores for team in loop.inputs.teams}
    for pool, team in waiting:
        share = total.get(team, 0.0) / limits[team]
        if share < 0.9:
            held[pool, team] = share
    shares: dict[str, list[float]] = {}
    for (pool, _), share in held.items():
        shares.setdefault(pool, []).append(share)
    ratios = [
        min(found) / max(found)
        for found in shares.values()
        if len(found) > 1 and max(found) > 0
    ]
    if ratios:
        loop.figures.fairness.append(sum(ratios) / len(ratios))
