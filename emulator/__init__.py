"""The project's own emulator of the users' platform, in virtual time.

The product's own processes run in it unchanged, from their callers' handler
down to the adapter's calls; only the network below the adapter is replaced.
"""
