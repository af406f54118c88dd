"""Machines: maintenance waves, and moves between pools."""
