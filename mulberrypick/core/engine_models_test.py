"""Tests of what is known of the speed of engines."""

import unittest

from mulberrypick.core import endpoint_registry_test
from mulberrypick.core import engine_models
from mulberrypick.core import gateway_records

READ = engine_models.Work.READ
START = engine_models.Work.START
Stage = gateway_records.Stage


def make_engine(name: str, stage=Stage.PREFILL, software: str = 'v1'):
  endpoint = endpoint_registry_test.make_endpoint(name, stage=stage)
  return endpoint._replace(software=software)


class EngineModelsTest(unittest.TestCase):

  def setUp(self):
    self.models = engine_models.EngineModels()
    self.engine = make_engine('a')

  def teach(self, models, engine, per_s: float, samples: int = 20):
    for number in range(samples):
      tokens = (2_000, 10_000)[number % 2]
      models.observe(engine, READ, tokens, 0.01 + tokens / per_s, number / 10)

  def expect_s(self, models, engine, work=READ) -> float:
    return models.find(engine, work).expect_s(10_000)

  def test_answers_of_one_engine_tell_about_the_others(self):
    self.teach(self.models, self.engine, 50_000)
    self.assertAlmostEqual(
        self.expect_s(self.models, make_engine('b')), 0.21, delta=0.03
    )

  def test_decode_engine_is_expected_at_half_the_speed_of_the_others(self):
    self.teach(self.models, self.engine, 50_000)
    decoder = make_engine('d', Stage.DECODE)
    work = engine_models.read_work(decoder)
    self.assertAlmostEqual(
        self.expect_s(self.models, decoder, work), 0.41, delta=0.05
    )

  def test_decode_engine_that_read_short_prompts_only_is_known_by_others(self):
    # Guards against decode engines that get no long prompt since short ones
    # told nothing of the time for each token.
    decoder = make_engine('d', Stage.DECODE)
    work = engine_models.read_work(decoder)
    for number in range(20):
      self.models.observe(decoder, work, 160, 0.015, number / 10)
    self.teach(self.models, self.engine, 400_000)
    self.assertAlmostEqual(
        self.expect_s(self.models, decoder, work), 0.06, delta=0.02
    )

  def test_new_software_is_first_taken_to_be_like_the_old_one(self):
    self.teach(self.models, self.engine, 50_000)
    newer = make_engine('c', software='v2')
    self.assertAlmostEqual(self.expect_s(self.models, newer), 0.21, delta=0.03)
    self.teach(self.models, newer, 100_000)
    self.assertAlmostEqual(self.expect_s(self.models, newer), 0.11, delta=0.02)
    self.assertAlmostEqual(
        self.expect_s(self.models, self.engine), 0.21, delta=0.03
    )

  def test_kept_speeds_are_used_until_there_are_samples(self):
    self.teach(self.models, self.engine, 50_000)
    kept = self.models.speeds_to_keep()
    later = engine_models.EngineModels()
    self.assertFalse(later.find(self.engine, READ).is_prior_known)
    self.assertEqual(later.adopt_speeds(kept), 1)
    self.assertAlmostEqual(self.expect_s(later, self.engine), 0.21, delta=0.03)
    decoder = make_engine('d', Stage.DECODE)
    work = engine_models.read_work(decoder)
    self.assertAlmostEqual(
        self.expect_s(later, decoder, work), 0.41, delta=0.05
    )
    self.teach(later, self.engine, 100_000)
    self.assertAlmostEqual(self.expect_s(later, self.engine), 0.11, delta=0.02)

  def test_kept_speeds_that_are_none_are_left_out(self):
    bad = {
        'read/v1/s': (float('nan'), 1.0),
        'unknown/v1/s': (0.1, 0.1),
        'start/v1/s': (-1.0, 0.0),
    }
    self.assertEqual(self.models.adopt_speeds(bad), 0)
    self.assertEqual(self.models.adopt_speeds({'read/v1/s': (0.0, 0.0)}), 1)
    self.assertGreater(self.expect_s(self.models, self.engine), 0.0)

  def test_speeds_are_kept_again_only_if_they_changed(self):
    one = {'read/v1/s': (0.01, 1e-5)}
    self.assertTrue(
        engine_models.are_alike(one, {'read/v1/s': (0.012, 1.1e-5)})
    )
    self.assertFalse(engine_models.are_alike(one, {'read/v1/s': (0.01, 2e-5)}))
    self.assertFalse(engine_models.are_alike(one, {}))

  def test_models_of_vanished_software_are_dropped_but_for_the_last(self):
    for number in range(50):
      self.teach(self.models, make_engine('a', software=f'v{number}'), 50_000)
    self.models.prune({('s', 'v48'), ('s', 'v49')})
    kept = [key.software for key, _ in self.models.all_models()]
    self.assertEqual(kept, ['v48', 'v49'])
    self.models.prune(set())
    self.assertEqual(len(self.models.all_models()), 1)

  def test_transfer_time_is_that_of_the_configuration(self):
    service = gateway_records.Service('s', 90, 400_000, 64, 1e-5)
    self.models.configure([service])
    decoder = make_engine('d', Stage.DECODE)
    expected_s = self.expect_s(self.models, decoder, START)
    self.assertAlmostEqual(expected_s, 0.1 + engine_models.PRIOR_FIXED_S)

  def test_host_that_starts_knows_what_others_observed(self):
    other = engine_models.EngineModels()
    self.teach(other, self.engine, 50_000)
    self.models.update_peer('other', other.sums_to_send((), 2.0), 2.0)
    self.assertAlmostEqual(
        self.expect_s(self.models, self.engine), 0.21, delta=0.03
    )

  def test_relay_forwards_each_sum_once(self):
    member, relay = engine_models.EngineModels(), engine_models.EngineModels()
    self.teach(member, self.engine, 50_000)
    relay.update_peer('member', member.sums_to_send((), 2.0), 2.0)
    sent = relay.sums_to_send(relay.peer_sources(), 2.0)
    self.assertEqual(sent, member.sums_to_send((), 2.0))
    self.assertEqual(relay.sums_to_send((), 2.0), {})

  def test_sums_of_silent_hosts_expire(self):
    other = engine_models.EngineModels()
    self.teach(other, self.engine, 50_000)
    self.models.update_peer('other', other.sums_to_send((), 2.0), 2.0)
    late = 2.0 + engine_models.PEER_TTL_S + 0.1
    self.models.update_peer('third', {}, late)
    self.assertEqual(self.models.find(self.engine, READ).samples, 0.0)

  def test_unreadable_sums_are_left_out(self):
    self.models.update_peer(
        'other',
        {
            'read/v1/s': (1.0, 2.0),
            'read/v2/s': (float('nan'),) * 7,
            'read/v3/s': (-1.0,) * 7,
            'newer/v1/s': (1.0,) * 7,
            'read': (1.0,) * 7,
        },
        1.0,
    )
    for _, model in self.models.all_models():
      self.assertGreater(model.expect_s(1_000), 0.0)

  def test_pace_of_one_endpoint_fades(self):
    pace = engine_models.Pace()
    for _ in range(50):
      pace.observe(3.0, 1.0)
    self.assertAlmostEqual(pace.factor(1.0), 3.0, delta=0.1)
    self.assertLess(pace.factor(100.0), 1.1)
    pace.observe(1e9, 100.0)
    self.assertLess(pace.factor(100.0), engine_models.MAX_PACE)


if __name__ == '__main__':
  unittest.main()
