"""Small stand-ins of the outside systems: store, VM list and others."""
