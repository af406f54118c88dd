"""Access to the next step of one VM, from what is known of it.

Pure. An order to the platform is written into the row before it is sent: a
state with an operation id *is* the order, and whoever leads sends it until
the platform shows that it took it. An operation is replaced only after the
platform took it, so that no late copy of it can do harm.
"""

import collections.abc
import enum
import typing

import msgspec

from oleanderwood import configuration
from oleanderwood import fleet
from oleanderwood import ids
from oleanderwood import ownership
from oleanderwood import platform_api

State = fleet.VmState
Vm = platform_api.PlatformVmState
Cause = ownership.Cause

ORDER_TIMEOUT_S = 120.0
"""How long the platform may refuse an order before the VM is replaced."""

REBOOT_TIMEOUT_S = 900.0
RETURN_TIMEOUT_S = 300.0
REPLACE_PAUSE_S = 60.0
"""How long a replaced VM that failed again waits to be replaced again."""

REPLACE_TIMEOUT_S = 1800.0

FAILED = 'failed, as the platform says'
REFUSED = 'the platform took no order in time'
NO_REBOOT = 'did not come back from its reboot in time'
UNFIT = 'was not fit to serve in time'


class OrderKind(enum.Enum):
    """What the platform may be ordered to do to a VM."""

    DRAIN = 'drain'
    UNDRAIN = 'undrain'
    REBOOT = 'reboot'
    REPLACE = 'replace'


class Order(msgspec.Struct, frozen=True):
    """An order that stands in a row and waits to be taken."""

    vm: ids.VmId
    kind: OrderKind
    operation: ids.OperationId


class Plan(msgspec.Struct, frozen=True):
    """What is to become of a VM that is out of service.

    ``undo`` brings it back as it is.
    """

    undo: bool = False
    action: configuration.Action = configuration.Action.REBOOT


class Evidence(msgspec.Struct, frozen=True):
    """What is known of a VM now.

    ``released``: no entry holds work at the VM under its row's epoch.
    ``platform``: None if it wasn't asked or gave no answer.
    ``probed``: its upstream accepts connections.
    """

    released: bool = False
    platform: platform_api.PlatformVm | None = None
    probed: bool = False
    leaving: bool = False
    listed: bool = True


class _Case(typing.NamedTuple):
    """A row with all that decides on its next step."""

    data_centre: ids.DataCentre
    row: fleet.VmRow
    seen: Evidence
    plan: Plan
    now_s: float
    new_id: collections.abc.Callable[[], str]


def operation(
    kind: OrderKind, new_id: collections.abc.Callable[[], str]
) -> ids.OperationId:
    """Make an operation's id; it says what is ordered."""
    return ids.OperationId(f'{kind.value}-{new_id()}')


def order(row: fleet.VmRow) -> Order | None:
    """Give the order that stands in a row."""
    if not row.operation:
        return None
    kind = OrderKind(row.operation.partition('-')[0])
    return Order(row.vm, kind, row.operation)


def is_replaced(row: fleet.VmRow) -> bool:
    """Say whether the VM was ordered to be replaced, maybe by another id."""
    standing = order(row)
    return standing is not None and standing.kind is OrderKind.REPLACE


def is_settled(row: fleet.VmRow, now_s: float) -> bool:
    """Say whether no order of the row can still arrive, taken or not."""
    if not row.operation:
        return True
    return now_s - row.changed_at_s > ORDER_TIMEOUT_S


def taken(row: fleet.VmRow, vm: platform_api.PlatformVm | None) -> bool:
    """Say whether the platform shows that it took the row's order."""
    if not row.operation:
        return True
    return vm is not None and row.operation in vm.operations


def step(
    data_centre: ids.DataCentre,
    row: fleet.VmRow,
    seen: Evidence,
    plan: Plan,
    now_s: float,
    new_id: collections.abc.Callable[[], str],
) -> ownership.Change | None:
    """Give a row's next change, None if there is nothing to change yet."""
    case = _Case(data_centre, row, seen, plan, now_s, new_id)
    return _STEPS[row.state](case)


def _change(
    case: _Case, cause: Cause = Cause.PROGRESS, **fields: typing.Any
) -> ownership.Change:
    return ownership.change(
        case.data_centre, case.row, cause, case.now_s, **fields
    )


def _new(case: _Case, kind: OrderKind) -> ids.OperationId:
    return operation(kind, case.new_id)


def _released(case: _Case) -> bool:
    return case.seen.released or not ownership.may_hold_work(case.row)


def _platform_says(case: _Case, state: Vm) -> bool:
    return case.seen.platform is not None and (
        case.seen.platform.state is state
    )


def _fit(case: _Case) -> bool:
    vm = case.seen.platform
    return vm is not None and vm.state is Vm.UP and vm.healthy


def _late(case: _Case, limit_s: float) -> bool:
    return case.now_s - case.row.changed_at_s > limit_s


def _broken(case: _Case, reason: str) -> ownership.Change:
    """Give a VM up; an order that may still arrive stays in its row."""
    operation_id = case.row.operation
    if taken(case.row, case.seen.platform):
        operation_id = ids.OperationId('')
    return _change(
        case,
        Cause.FAILED,
        state=State.BROKEN,
        operation=operation_id,
        reason=reason,
        target=ids.PoolId(''),
    )


def _serving(case: _Case) -> ownership.Change | None:
    vm = case.seen.platform
    if vm is None:
        return None
    if vm.state is Vm.FAILED:
        return _broken(case, FAILED)
    if vm.state is not Vm.UP:
        return _change(case, Cause.FAILED, state=State.RETURNING)
    if not vm.healthy:
        return _change(case, Cause.UNFIT, state=State.RETURNING)
    return None


def _releasing(case: _Case) -> ownership.Change | None:
    if _platform_says(case, Vm.FAILED):
        return _broken(case, FAILED)
    if case.seen.leaving:
        return None
    if case.plan.undo:
        return _change(case, state=State.SERVING, wave=ids.WaveId(''))
    if not _released(case):
        return None
    if not case.row.wave:
        spare = fleet.spare_pool(case.data_centre)
        return _change(
            case,
            pool=case.row.target or spare,
            state=State.SERVING,
            target=ids.PoolId(''),
        )
    return _change(
        case, state=State.DRAINING, operation=_new(case, OrderKind.DRAIN)
    )


def _draining(case: _Case) -> ownership.Change | None:
    vm = case.seen.platform
    if vm is None:
        return None
    if vm.state is Vm.FAILED:
        return _broken(case, FAILED)
    if not taken(case.row, vm):
        if _late(case, ORDER_TIMEOUT_S):
            return _broken(case, REFUSED)
        return None
    if case.plan.undo:
        return _change(
            case,
            state=State.RETURNING,
            wave=ids.WaveId(''),
            operation=_new(case, OrderKind.UNDRAIN),
        )
    if vm.state is Vm.DRAINED:
        kind = OrderKind(case.plan.action.value)
        return _change(
            case,
            state=State.REBOOTING,
            operation=_new(case, kind),
            boot_id=vm.boot_id,
        )
    if vm.state is Vm.UP:
        # It restarted, or was undrained by someone else.
        return _change(case, operation=_new(case, OrderKind.DRAIN))
    return None


def _rebooting(case: _Case) -> ownership.Change | None:
    vm = case.seen.platform
    if vm is None:
        if not case.seen.listed and _late(case, REBOOT_TIMEOUT_S):
            return _broken(case, NO_REBOOT)
        return None
    if not taken(case.row, vm):
        if vm.boot_id != case.row.boot_id:
            return _change(case, boot_id=vm.boot_id)
        if _late(case, ORDER_TIMEOUT_S):
            return _broken(case, REFUSED)
        return None
    if vm.state is Vm.FAILED:
        return _broken(case, FAILED)
    if vm.boot_id != case.row.boot_id and _fit(case):
        return _returned(case, vm)
    if _late(case, REBOOT_TIMEOUT_S):
        return _broken(case, NO_REBOOT)
    return None


def _returned(case: _Case, vm: platform_api.PlatformVm) -> ownership.Change:
    return _change(
        case,
        state=State.RETURNING,
        operation=ids.OperationId(''),
        boot_id=vm.boot_id,
        reason='',
    )


def _returning(case: _Case) -> ownership.Change | None:
    vm = case.seen.platform
    if vm is None or case.seen.leaving:
        return None
    if vm.state is Vm.FAILED:
        return _broken(case, FAILED)
    if _late(case, RETURN_TIMEOUT_S):
        return _broken(case, UNFIT)
    if not taken(case.row, vm):
        return None
    if vm.state in (Vm.DRAINING, Vm.DRAINED):
        if case.row.operation:
            return None
        return _change(case, operation=_new(case, OrderKind.UNDRAIN))
    if _fit(case) and case.seen.probed:
        return _change(
            case,
            state=State.SERVING,
            operation=ids.OperationId(''),
            boot_id=vm.boot_id,
        )
    return None


def _broken_step(case: _Case) -> ownership.Change | None:
    if not case.seen.listed:
        return None
    vm = case.seen.platform
    if not is_replaced(case.row):
        settled = taken(case.row, vm) or is_settled(case.row, case.now_s)
        return _replace(case) if settled and _released(case) else None
    if vm is None or not taken(case.row, vm):
        return None
    booted = vm.boot_id != case.row.boot_id
    if booted and _fit(case):
        return _returned(case, vm)
    pause_s = REPLACE_TIMEOUT_S
    if vm.state is Vm.FAILED:
        pause_s = REPLACE_PAUSE_S if booted else RETURN_TIMEOUT_S
    return _replace(case) if _late(case, pause_s) else None


def _replace(case: _Case) -> ownership.Change:
    boot_id = case.row.boot_id
    if case.seen.platform is not None:
        boot_id = case.seen.platform.boot_id
    return _change(
        case,
        pool=fleet.spare_pool(case.data_centre),
        operation=_new(case, OrderKind.REPLACE),
        boot_id=boot_id,
    )


_STEPS = {
    State.SERVING: _serving,
    State.RELEASING: _releasing,
    State.DRAINING: _draining,
    State.REBOOTING: _rebooting,
    State.RETURNING: _returning,
    State.BROKEN: _broken_step,
}
