"""The callers' interface: submitting, querying and cancelling jobs."""
