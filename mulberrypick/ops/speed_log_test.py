"""Tests of the log of the speed of engines."""

import unittest

from mulberrypick.core import engine_models
from mulberrypick.core import engine_models_test
from mulberrypick.ops import speed_log


class SpeedLogTest(unittest.TestCase):

  def test_changes_are_logged_once(self):
    models = engine_models.EngineModels()
    log = speed_log.SpeedLog()
    engine = engine_models_test.make_engine('a')
    for number in range(20):
      models.observe(engine, engine_models.Work.READ, 4_000, 0.1, number / 10)
    with self.assertLogs(speed_log.__name__, 'INFO') as logged:
      log.record(models)
      log.record(models)
    self.assertEqual(len(logged.records), 1)
    for number in range(100):
      models.observe(
          engine, engine_models.Work.READ, 4_000, 0.3, 2 + number / 10
      )
    with self.assertLogs(speed_log.__name__, 'INFO'):
      log.record(models)


if __name__ == '__main__':
  unittest.main()
