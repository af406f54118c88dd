"""Which pool each machine serves: demand, moves, draining."""
