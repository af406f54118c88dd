"""Callers: routing, handing in, asking, cancelling."""
