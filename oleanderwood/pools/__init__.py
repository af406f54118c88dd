"""Workers of pools: reports, leases, room, and where tasks start."""
