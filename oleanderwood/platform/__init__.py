"""The adapter to the users' platform: names, formats and calls only."""
