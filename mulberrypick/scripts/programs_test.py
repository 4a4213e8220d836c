"""Tests of the checks of settings that are invalid in combination."""

import unittest

import zmq
from click import testing

from mulberrypick.scripts import controller
from mulberrypick.scripts import entry
from mulberrypick.scripts import settings_command

FLAGS = ('--name=a', '--zone=z', '--platform-url=http://127.0.0.1:1')
PUBLIC, SECRET = (key.decode() for key in zmq.curve_keypair())


class TestPeerKeys(unittest.TestCase):

  def check_refused(self, program, *flags: str) -> str:
    """Checks that a program does not start; returns its output."""
    result = testing.CliRunner().invoke(program.main, FLAGS + flags)
    self.assertEqual(result.exit_code, settings_command.EXIT_SETTINGS)
    self.assertNotIn(SECRET, result.output)
    return result.output

  def test_incomplete_key_pair_is_refused(self):
    for program in (entry, controller):
      output = self.check_refused(program, f'--peer-public-key={PUBLIC}')
      self.assertIn('--peer-secret-key (MULBERRYPICK_PEER_SECRET_KEY)', output)
      output = self.check_refused(program, f'--peer-secret-key={SECRET}')
      self.assertIn('--peer-public-key (MULBERRYPICK_PEER_PUBLIC_KEY)', output)

  def test_controller_reports_all_faults(self):
    output = self.check_refused(
        controller, f'--peer-secret-key={SECRET}', '--lease-s=3'
    )
    self.assertIn('--peer-public-key', output)
    self.assertIn('--lease-s', output)

  def test_print_settings_checks_them(self):
    output = self.check_refused(
        entry, f'--peer-secret-key={SECRET}', '--print-settings'
    )
    self.assertIn('--peer-public-key', output)
