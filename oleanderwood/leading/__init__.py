"""The one process that decides for all pools, and how it is chosen."""
