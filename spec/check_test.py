"""Tests of the specification runner."""

import unittest

from spec import check


def make_counter(limit: int, **more) -> check.Specification:
  """Returns a counter that starts at 0 or 1 and adds two up to a limit."""
  return check.Specification(
      name='counter',
      initial=(0, 1),
      next=lambda n: [('add two', n + 2)] if n < limit else [],
      invariant_by_name={'below five': lambda n: n < 5},
      **more,
  )


class TestCheck(unittest.TestCase):

  def test_finite_state_space_is_proved_with_states_and_depth(self):
    result = check.run(make_counter(3))
    self.assertEqual(
        (check.PROVED, 5, 2, True),
        (result.verdict, result.states, result.depth, result.is_expected),
    )

  def test_shortest_counterexample_is_reported(self):
    result = check.run(make_counter(9))
    self.assertFalse(result.is_expected)
    self.assertEqual(
        [('initial', 1), ('add two', 3), ('add two', 5)],
        result.counterexample_by_name['below five'],
    )

  def test_broken_variant_must_be_refuted(self):
    self.assertTrue(
        check.run(make_counter(9, expected_violation='below five')).is_expected
    )
    self.assertFalse(
        check.run(make_counter(3, expected_violation='below five')).is_expected
    )

  def test_search_beyond_max_states_is_undetermined(self):
    result = check.run(make_counter(3, max_states=2))
    self.assertEqual(check.UNDETERMINED, result.verdict)
    self.assertFalse(result.is_expected)

  def test_every_witness_must_be_reached(self):
    witnesses = {'four': lambda n: n == 4, 'ninety': lambda n: n == 90}
    result = check.run(make_counter(3, witness_by_name=witnesses))
    self.assertEqual(('ninety',), result.unreached_witnesses)
    self.assertFalse(result.is_expected)


if __name__ == '__main__':
  unittest.main()
