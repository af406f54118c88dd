"""Fixtures of the fault tests: a small deployment for each module."""

import pytest

from tests import utils_processes


@pytest.fixture(scope='module')
def stage():
    """Give a small deployment that is up; tests leave it whole."""
    with utils_processes.small() as found:
        yield found
