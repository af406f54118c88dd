"""Tenants: whose keys open the queues, and what each may have running."""
