"""Fixtures of the fault tests: one small deployment for all."""

import pytest

from tests import utils_processes


@pytest.fixture(scope='session')
def stage():
    """Give a small deployment that is up; tests leave it whole."""
    with utils_processes.small() as found:
        yield found
