"""Tenants: authentication of callers by keys, and limits of what runs."""
