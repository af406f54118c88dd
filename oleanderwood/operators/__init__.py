"""The operators' side: file, administration API, command line."""
