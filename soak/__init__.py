"""Faults at random against the real servers, as separate processes.

The platform is the emulator's, over real sockets; each link passes a proxy
that delays, resets, cuts or silences it. What callers, workers and machines
see is judged by the emulator's checker.
"""
