"""Jobs that callers submit, and the state of their tasks."""
