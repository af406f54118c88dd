"""The operators' policy file: its content and validation."""
