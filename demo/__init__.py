"""The demonstration and the randomised run on real processes."""
