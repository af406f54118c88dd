"""Executors on which an unanswered order may be carried out late. Pure.

An executor that restarts under its id has seen no fence, so the first call
that reaches its next incarnation sets its fence. While an order may be in
flight, the executor has to be called repeatedly, with a fence above that of
the order.
"""

import dataclasses

import msgspec

from oleanderwood import ids

MAX_DELAY_S = 15.0
"""Time in seconds for which an unanswered order may still be carried out."""

MAX_EXECUTORS = 16
"""Maximal number of executors that one server calls this way; those with the
latest orders are kept, and those with unanswered ones before those with
suspected ones."""


class LateOrder(msgspec.Struct, frozen=True):
    """An executor on which an order may be carried out late.

    :ivar fence: above that of the order, and not above its leader's
    :ivar for_s: time in seconds for which that may still happen
    :ivar suspected: no order is known to be unanswered; an earlier leader may
        have ended with one in flight
    """

    executor: ids.ExecutorId
    address: ids.Address
    fence: ids.Fence
    for_s: float = MAX_DELAY_S
    suspected: bool = False


@dataclasses.dataclass
class UnansweredOrders:
    """The executors that one server calls.

    :ivar until_s: by executor; time after which the order can no longer
        arrive
    :ivar unreported: those that other servers have not been notified of yet
    """

    orders: dict[ids.ExecutorId, LateOrder] = dataclasses.field(
        default_factory=dict
    )
    until_s: dict[ids.ExecutorId, float] = dataclasses.field(
        default_factory=dict
    )
    unreported: dict[ids.ExecutorId, LateOrder] = dataclasses.field(
        default_factory=dict
    )


def add(unanswered: UnansweredOrders, order: LateOrder, now_s: float) -> None:
    """Record that an executor has to be called; the highest fence is kept.

    A suspected order takes no other order's place.
    """
    name = order.executor
    known = unanswered.orders.get(name)
    if known is None:
        if order.suspected and not has_room(unanswered):
            return
        unanswered.orders[name] = order
    else:
        highest = known if known.fence > order.fence else order
        unanswered.orders[name] = msgspec.structs.replace(
            highest, suspected=known.suspected and order.suspected
        )
    until_s = now_s + min(order.for_s, MAX_DELAY_S)
    unanswered.until_s[name] = max(until_s, unanswered.until_s.get(name, 0.0))
    if len(unanswered.orders) > MAX_EXECUTORS:
        remove(unanswered, _first_to_drop(unanswered))


def _first_to_drop(unanswered: UnansweredOrders) -> ids.ExecutorId:
    """Return the executor with the oldest order, suspected ones first."""
    return min(
        unanswered.orders.values(),
        key=lambda order: (
            not order.suspected,
            unanswered.until_s[order.executor],
        ),
    ).executor


def is_expected(
    unanswered: UnansweredOrders, executor: ids.ExecutorId, now_s: float
) -> bool:
    """Return whether an order may still be carried out late at an executor."""
    return now_s < unanswered.until_s.get(executor, 0.0)


def is_unanswered(
    unanswered: UnansweredOrders, executor: ids.ExecutorId
) -> bool:
    """Return whether an order to an executor is known to be unanswered."""
    known = unanswered.orders.get(executor)
    return known is not None and not known.suspected


def has_room(unanswered: UnansweredOrders) -> bool:
    """Return whether a suspected order would be recorded."""
    return len(unanswered.orders) < MAX_EXECUTORS


def remove(unanswered: UnansweredOrders, executor: ids.ExecutorId) -> None:
    """Stop calling an executor."""
    unanswered.orders.pop(executor, None)
    unanswered.until_s.pop(executor, None)


def executors_to_call(
    unanswered: UnansweredOrders, now_s: float
) -> list[LateOrder]:
    """Return the executors to call now."""
    for executor, until_s in list(unanswered.until_s.items()):
        if now_s >= until_s:
            remove(unanswered, executor)
    return list(unanswered.orders.values())


def take_unreported(unanswered: UnansweredOrders) -> list[LateOrder]:
    """Remove and return the orders not yet sent to other servers."""
    orders = list(unanswered.unreported.values())
    unanswered.unreported.clear()
    return orders
