"""Tests what policies earn in a recorded flood of requests."""

import pathlib
import tempfile
import unittest

from click import testing

from standins import replay
from standins import replay_plot
from standins import replay_trial


class FloodTest(unittest.TestCase):

  @classmethod
  def setUpClass(cls):
    cls.recorded = replay.read_replay(replay_trial.FLOOD_REPLAY)
    cls.earned = {}
    cls.outcomes = {}
    for name, policy in replay_trial.POLICY_BY_NAME.items():
      outcomes = replay_trial.Trial(cls.recorded, policy).run()
      cls.outcomes[name] = outcomes
      cls.earned[name] = replay_trial.earned(outcomes)

  def test_every_request_ends_once(self):
    for outcomes in self.outcomes.values():
      self.assertEqual(len(outcomes), len(self.recorded.arrivals))

  def test_gateway_policy_earns_most(self):
    for name, other in self.earned.items():
      if name != 'own':
        self.assertGreater(self.earned['own'], other, name)

  def test_gateway_policy_earns_a_fifth_more_than_plain_forwarding(self):
    # The users require this difference of the mean values over whole days.
    least = self.earned['least in flight']
    self.assertGreaterEqual(self.earned['own'], least + 0.2)

  def test_urgent_questions_are_in_time_in_the_flood(self):
    urgent = [x for x in self.outcomes['own'] if x.arrival.rank == 0]
    self.assertGreater(len(urgent), 3)
    in_time = sum(x.status == 'in time' for x in urgent)
    self.assertGreaterEqual(in_time, 0.98 * len(urgent))

  def test_no_size_earns_less_than_a_quarter_of_all(self):
    outcomes = self.outcomes['own']
    groups = replay_trial.group(outcomes, replay_trial.size_key(outcomes))
    self.assertEqual(len(groups), replay_trial.SIZE_GROUP_COUNT)
    for name, of_size in groups.items():
      share = replay_trial.earned(of_size) / self.earned['own']
      self.assertGreaterEqual(share, 0.25, name)

  def test_longer_peer_lag_earns_less(self):
    policy = replay_trial.POLICY_BY_NAME['own']
    late = replay_trial.Trial(self.recorded, policy, 0.3).run()
    self.assertLess(replay_trial.earned(late), self.earned['own'])

  def test_same_replay_same_outcomes(self):
    policy = replay_trial.POLICY_BY_NAME['own']
    again = replay_trial.Trial(self.recorded, policy).run()
    self.assertEqual(again, self.outcomes['own'])


class ReportTest(unittest.TestCase):

  def test_report_and_plot_name_every_policy(self):
    with tempfile.TemporaryDirectory() as folder:
      plot = pathlib.Path(folder) / 'flood.svg'
      result = testing.CliRunner().invoke(
          replay_trial.main, ['--plot', str(plot)]
      )
      self.assertEqual(result.exit_code, 0, result.output)
      drawn = plot.read_text()
    for name in replay_trial.POLICY_BY_NAME:
      self.assertIn(name, result.output)
      self.assertIn(name, drawn)

  def test_malformed_line_is_named(self):
    with tempfile.TemporaryDirectory() as folder:
      path = pathlib.Path(folder) / 'broken.txt'
      path.write_text('# fine\nclass 2 0.3\n')
      with self.assertRaisesRegex(replay.ReplayError, 'line 2 of'):
        replay.read_replay(path)

  def test_line_has_a_point_for_each_value(self):
    drawn = replay_plot.draw({'a': [0.0, 0.5, 1.0]}, 0.1, 't')
    (line,) = [x for x in drawn.splitlines() if 'polyline' in x]
    self.assertEqual(line.partition('points="')[2].count(','), 3)


if __name__ == '__main__':
  unittest.main()
