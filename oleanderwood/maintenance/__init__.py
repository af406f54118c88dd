"""Maintenance of machines: waves, and the limits on interruptions."""
