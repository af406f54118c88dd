"""Jobs: what callers hand in, and what is known of their tasks."""
