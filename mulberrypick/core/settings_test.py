"""Tests for settings."""

import unittest

from mulberrypick.core import errors
from mulberrypick.core import settings

TABLE = (
    settings.Setting('zone', None, settings.parse_name, ''),
    settings.Setting('listen', '127.0.0.1:80', settings.parse_address, ''),
    settings.Setting('wait_s', '2', settings.parse_seconds, ''),
    settings.Setting('token', '', str, '', is_secret=True),
)


class TestSettings(unittest.TestCase):

  def test_defaults_fill_what_is_not_given(self):
    value_by_name = settings.parse_settings(TABLE, {'zone': 'a'})
    self.assertEqual(('127.0.0.1', 80), value_by_name['listen'])
    self.assertEqual(2.0, value_by_name['wait_s'])

  def test_all_faults_are_reported_together(self):
    given = {'listen': 'localhost:1', 'wait_s': '-1'}
    with self.assertRaises(errors.SettingsError) as caught:
      settings.parse_settings(TABLE, given)
    self.assertEqual(
        [
            '--zone (MULBERRYPICK_ZONE)',
            '--listen (MULBERRYPICK_LISTEN)',
            '--wait-s (MULBERRYPICK_WAIT_S)',
        ],
        [fault.place for fault in caught.exception.faults],
    )

  def test_secrets_are_not_rendered(self):
    given = {'zone': 'a', 'token': 'secret-1'}
    text = settings.render_settings(
        TABLE, settings.parse_settings(TABLE, given)
    )
    self.assertIn('MULBERRYPICK_LISTEN=127.0.0.1:80', text)
    self.assertNotIn('secret-1', text)


if __name__ == '__main__':
  unittest.main()
