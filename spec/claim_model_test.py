"""Checks the specification of claims and each of its broken variants."""

import unittest

from spec import check
from spec import claim_model


class TestClaimModel(unittest.TestCase):

  def test_verdicts(self):
    for specification in claim_model.specifications():
      if specification.name == claim_model.THREE_REQUESTS:
        continue
      with self.subTest(specification.name):
        result = check.run(specification)
        self.assertTrue(result.is_expected, result)


if __name__ == '__main__':
  unittest.main()
