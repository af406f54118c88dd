"""Pytest plugin that plants the defect named in the environment."""

import os
import unittest.mock

VARIABLE = 'OLEANDER_TEST_MUTANT'


def pytest_configure(config):
    """Plant the defect for as long as the process runs."""
    # Late: the catalogue imports most of the product.
    from tests import mutants  # noqa: PLC0415

    mutant = mutants.BY_NAME[os.environ[VARIABLE]]
    for target, name, stand_in in mutant.patches:
        unittest.mock.patch.object(target, name, stand_in).start()
