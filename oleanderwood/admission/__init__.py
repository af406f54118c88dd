"""Admission control: how much of each tenant's calls a full pool takes."""
