"""Tests of the fairness between prompt sizes under simulated overload."""

import random
import unittest

from mulberrypick.core import size_fairness


class SizeFairnessTest(unittest.TestCase):

  def simulate(self, limit_s: float, backlog_s: float) -> dict[int, float]:
    """Returns the served fraction by size class under a constant backlog."""
    rng = random.Random(5)
    fairness = size_fairness.SizeFairness()
    asked, sent = [0, 0, 0], [0, 0, 0]
    sizes = []
    for _ in range(4000):
      own = int(rng.lognormvariate(7.5, 0.8))
      size = 6300 + own
      sizes.append((size, own))
    ordered = sorted(size for size, _ in sizes)
    borders = ordered[2800], ordered[3600]
    for size, own in sizes:
      number = sum(size >= border for border in borders)
      fairness.record_prompt(size, own)
      # The backlog fluctuates, like that of a full engine.
      predicted_s = backlog_s * rng.uniform(0.2, 1.4)
      is_sent = predicted_s <= limit_s * fairness.limit_fraction(size, own)
      fairness.record_decision(size, is_sent)
      asked[number] += 1
      sent[number] += is_sent
    return {n: sent[n] / asked[n] for n in range(3)}

  def test_nothing_is_refused_without_a_backlog(self):
    self.assertEqual(self.simulate(0.255, 0.0), {0: 1.0, 1: 1.0, 2: 1.0})

  def test_expensive_prompts_are_refused_first_but_keep_half(self):
    fractions = self.simulate(0.255, 0.25)
    overall = 0.7 * fractions[0] + 0.2 * fractions[1] + 0.1 * fractions[2]
    self.assertGreater(fractions[0], fractions[2])
    self.assertGreaterEqual(fractions[2], 0.5 * overall)
    self.assertGreaterEqual(fractions[1], 0.5 * overall)

  def test_without_lower_bound_the_largest_prompts_starve(self):
    old = size_fairness.MIN_RELATIVE_FRACTION
    size_fairness.MIN_RELATIVE_FRACTION = 0.0
    self.addCleanup(setattr, size_fairness, 'MIN_RELATIVE_SHARE', old)
    fractions = self.simulate(0.255, 0.25)
    overall = 0.7 * fractions[0] + 0.2 * fractions[1] + 0.1 * fractions[2]
    self.assertLess(fractions[2], 0.5 * overall)


if __name__ == '__main__':
  unittest.main()
