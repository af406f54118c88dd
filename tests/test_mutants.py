"""Tests of the catalogue of planted defects; ``make mutants`` runs them."""

import collections

from tests import mutants
from tests import utils_mutants as utils


def test_names_of_planted_defects_differ():
    names = [mutant.name for mutant in mutants.MUTANTS if mutant.patches]
    assert len(set(names)) == len(names)


def test_what_a_defect_replaces_is_there():
    patches = [p for mutant in mutants.MUTANTS for p in mutant.patches]
    for target, name, stand_in in patches:
        assert getattr(target, name) is not stand_in


def test_each_invariant_has_defects():
    counts = collections.Counter(m.invariant for m in mutants.MUTANTS)
    assert min(counts[kind] for kind in utils.REQUIRED) >= utils.LEAST
