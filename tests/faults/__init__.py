"""Fault tests on real processes over the stand-ins."""
