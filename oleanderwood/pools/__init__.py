"""Workers of pools: reports, leases, free capacity and task placement."""
