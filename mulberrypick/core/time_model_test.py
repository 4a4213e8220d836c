"""Tests of the model of a time that grows with a number of tokens."""

import math
import random
import unittest

from mulberrypick.core import time_model

# Engines that prefill 10 to 2,000 tokens a millisecond.
SPEEDS = (
    (0.05, 10_000),
    (0.02, 49_600),
    (0.008, 409_000),
    (0.001, 2_000_000),
)
SIZES = (500, 3_000, 8_000, 20_000)


def make_model() -> time_model.TimeModel:
  return time_model.TimeModel(0.01, 1 / 100_000)


class TimeModelTest(unittest.TestCase):

  def teach(self, model, fixed_s, per_s, samples, deviation=0.1, at=0.0):
    rng = random.Random(repr((fixed_s, per_s)))
    for number in range(samples):
      tokens = rng.choice(SIZES)
      took_s = (fixed_s + tokens / per_s) * math.exp(rng.gauss(0.0, deviation))
      model.observe(tokens, took_s, at + number / 20)

  def test_few_samples_tell_the_time_of_any_engine(self):
    for fixed_s, per_s in SPEEDS:
      model = make_model()
      self.teach(model, fixed_s, per_s, 10)
      for tokens in SIZES:
        true_s = fixed_s + tokens / per_s
        with self.subTest(per_s=per_s, tokens=tokens):
          self.assertLess(abs(model.expect_s(tokens) / true_s - 1.0), 0.35)

  def test_sound_engine_is_within_the_high_end(self):
    for fixed_s, per_s in SPEEDS:
      model = make_model()
      self.teach(model, fixed_s, per_s, 100, deviation=0.3)
      rng = random.Random(1)
      late = 0
      for _ in range(500):
        tokens = rng.choice(SIZES)
        took_s = (fixed_s + tokens / per_s) * math.exp(rng.gauss(0.0, 0.3))
        late += took_s > model.high_factor * model.expect_s(tokens)
      self.assertLessEqual(late, 5)

  def test_spread_follows_the_noise(self):
    calm, noisy = make_model(), make_model()
    self.teach(calm, 0.02, 50_000, 100, deviation=0.05)
    self.teach(noisy, 0.02, 50_000, 100, deviation=0.5)
    self.assertLess(2 * calm.spread, noisy.spread)

  def test_change_of_speed_is_learned(self):
    model = make_model()
    self.teach(model, 0.02, 50_000, 200)
    self.teach(model, 0.02, 20_000, 150, at=40.0)
    self.assertAlmostEqual(model.expect_s(20_000), 1.02, delta=0.2)

  def test_sums_of_hosts_add_up(self):
    one, other, both = make_model(), make_model(), make_model()
    self.teach(one, 0.02, 50_000, 20)
    both.set_others(one.sums)
    self.assertAlmostEqual(
        both.expect_s(8_000), one.expect_s(8_000), delta=0.01
    )
    self.teach(other, 0.02, 50_000, 20)
    other.set_others(one.sums)
    self.assertGreater(other.samples, one.samples)

  def test_nonsense_is_ignored_or_bounded(self):
    model = make_model()
    self.teach(model, 0.02, 50_000, 50)
    before_s = model.expect_s(8_000)
    for tokens, took_s in ((8_000, 0.0), (-1, 1.0), (8_000, -3.0)):
      model.observe(tokens, took_s, 3.0)
    self.assertEqual(model.expect_s(8_000), before_s)
    model.observe(8_000, 1e9, 3.0)
    self.assertLess(model.expect_s(8_000), 2.5 * before_s)


if __name__ == '__main__':
  unittest.main()
