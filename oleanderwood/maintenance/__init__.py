"""Maintenance of machines: waves, and what they may interrupt."""
