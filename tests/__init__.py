"""Tests of oleanderwood."""
