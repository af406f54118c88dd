"""Executors at which an order without an answer may be carried out late. Pure.

One that starts again under its id has seen no fence, so the first call that
reaches its next life decides. While an order may be out, it is to be asked
again and again, with a fence above that of the order.
"""

import dataclasses

import msgspec

from oleanderwood import ids

LATE_S = 15.0
"""Time for which an order without an answer may be carried out."""

MOST = 16
"""Executors that one server asks so, those with the latest orders."""


class LateOrder(msgspec.Struct, frozen=True):
    """An executor at which an order may be carried out late.

    :ivar fence: above that of the order, and not above its leader's
    :ivar for_s: how much longer it may be
    """

    executor: ids.ExecutorId
    address: ids.Address
    fence: ids.Fence
    for_s: float = LATE_S


@dataclasses.dataclass
class Book:
    """The executors that one server asks.

    :ivar until_s: by when no order arrives late any more
    :ivar untold: those that other servers weren't told of yet
    """

    orders: dict[ids.ExecutorId, LateOrder] = dataclasses.field(
        default_factory=dict
    )
    until_s: dict[ids.ExecutorId, float] = dataclasses.field(
        default_factory=dict
    )
    untold: dict[ids.ExecutorId, LateOrder] = dataclasses.field(
        default_factory=dict
    )


def take(book: Book, order: LateOrder, now_s: float) -> None:
    """Take in that an executor is to be asked; the highest fence counts."""
    name = order.executor
    known = book.orders.get(name)
    if known is None or order.fence >= known.fence:
        book.orders[name] = order
    until_s = now_s + min(order.for_s, LATE_S)
    book.until_s[name] = max(until_s, book.until_s.get(name, 0.0))
    if len(book.orders) > MOST:
        drop(book, min(book.until_s, key=book.until_s.__getitem__))


def drop(book: Book, executor: ids.ExecutorId) -> None:
    """Ask an executor no more."""
    book.orders.pop(executor, None)
    book.until_s.pop(executor, None)


def due(book: Book, now_s: float) -> list[LateOrder]:
    """Give whom to ask now."""
    for executor, until_s in list(book.until_s.items()):
        if now_s >= until_s:
            drop(book, executor)
    return list(book.orders.values())


def take_untold(book: Book) -> list[LateOrder]:
    """Give what other servers are to be told, once."""
    orders = list(book.untold.values())
    book.untold.clear()
    return orders
