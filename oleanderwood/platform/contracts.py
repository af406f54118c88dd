"""The platform's contracts: which of its rules are in force."""

import collections.abc

PRESSURE = 'pressure'
"""Callers may send far more than usual, all of them or one customer."""


def declares_pressure(contracts: collections.abc.Collection[str]) -> bool:
    """Return whether the platform declares that callers may press."""
    return PRESSURE in contracts
