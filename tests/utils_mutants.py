"""Descriptions of planted defects and of the proofs that must fail."""

import dataclasses
import enum
import typing


class Invariant(enum.Enum):
    """What a defect breaks."""

    BUDGET = 'availability budget'
    ONE_POOL = 'VM in one pool'
    WHOLE = 'whole answer'
    NOT_RUN = 'not-run is true'
    ONCE = 'at most once'
    LEAVING = 'leaving upstream'
    STOP = 'graceful stop'
    CONFIG = 'configuration'
    TASKS = 'tasks and quotas'
    """Promises of the workloads beside the eight invariants."""


REQUIRED = tuple(kind for kind in Invariant if kind is not Invariant.TASKS)
LEAST = 2
"""Defects that each required invariant must have."""

SLOW = 'faults/'
"""Directory of the proofs that run whole daemons."""

Patch = tuple[typing.Any, str, typing.Any]
"""Module or class, attribute, and what stands in for it."""


@dataclasses.dataclass(frozen=True)
class Mutant:
    """One defect.

    :ivar mechanism: the module that carries the invariant
    :ivar proof: node id of the test that must fail
    :ivar patches: none if the test itself plants the defect, and passes
        only if its proof fails
    """

    name: str
    invariant: Invariant
    mechanism: str
    proof: str
    patches: tuple[Patch, ...] = ()


def planted(
    name: str,
    invariant: Invariant,
    proof: str,
    *patches: Patch,
    mechanism: str = '',
) -> Mutant:
    """Describe a defect that is planted from outside of its proof."""
    module = mechanism or patches[0][0].__name__.rpartition('.')[2]
    return Mutant(name, invariant, module, f'tests/test_{proof}', patches)


def inside(
    invariant: Invariant, mechanism: str, proof: str, *names: str
) -> tuple[Mutant, ...]:
    """Describe defects that a test plants.

    :param names: its parameters; none for a test without
    """
    node = f'tests/{proof}'
    if not proof.startswith(SLOW):
        node = f'tests/test_{proof}'
    if not names:
        name = proof.partition('::')[2].removeprefix('test_')
        return (Mutant(name, invariant, mechanism, node),)
    return tuple(
        Mutant(name, invariant, mechanism, f'{node}[{name}]') for name in names
    )
