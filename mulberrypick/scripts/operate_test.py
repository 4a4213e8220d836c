"""Tests of the operator's command against a stand-in platform and entry."""

import json
import pathlib
import tempfile
import unittest

import urllib3
from click import testing

from examples import zagovina
from mulberrypick.core import config_test
from mulberrypick.core import records
from mulberrypick.scripts import operate
from mulberrypick.scripts import operate_session
from standins import launcher
from standins import local_cluster


class TestOffline(unittest.TestCase):

  def run_command(self, *arguments: str, text: bytes = b''):
    return testing.CliRunner().invoke(operate.main, arguments, input=text)

  def test_all_faults_of_a_file_are_printed_with_their_places(self):
    result = self.run_command('validate', '-', text=config_test.FAULTY)
    self.assertEqual(result.exit_code, operate_session.EXIT_INVALID_CONFIG)
    for place in config_test.PLACES:
      self.assertIn(f'mulberrypick: {place}: ', result.output)

  def test_a_valid_file(self):
    result = self.run_command(
        'validate', '-', '--output', 'json', text=config_test.TEXT
    )
    self.assertEqual(result.exit_code, 0)
    self.assertEqual(json.loads(result.output)['services'], 2)

  def test_settings_are_checked_at_once(self):
    result = self.run_command(
        '--platform-url', 'nowhere', '--timeout-s', 'soon', 'version'
    )
    self.assertEqual(result.exit_code, operate_session.EXIT_USAGE)
    for flag in ('--platform-url', '--timeout-s'):
      self.assertIn(flag, result.output)

  def test_a_secret_is_not_printed(self):
    result = self.run_command('--operator-token', 'hush', '--print-settings')
    self.assertEqual(result.exit_code, 0)
    self.assertNotIn('hush', result.output)

  def test_missing_addresses_are_reported_with_the_settings(self):
    for command in (['status'], ['explain', 'x'], ['undrain', 'x']):
      result = self.run_command(*command)
      self.assertEqual(result.exit_code, operate_session.EXIT_USAGE)
      self.assertIn('MULBERRYPICK_', result.output)

  def test_unavailable_platform(self):
    address = launcher.free_address('127.0.0.1')
    result = self.run_command(
        '--platform-url', f'http://{address}', 'undrain', 'x'
    )
    self.assertEqual(
        result.exit_code, operate_session.EXIT_PLATFORM_UNAVAILABLE
    )
    self.assertIn('nothing was changed', result.output)

  def test_completion(self):
    for shell in operate.SHELLS:
      result = self.run_command('completion', shell)
      self.assertIn('_MULBERRYPICK_COMPLETE', result.output)


class TestWithPlatform(unittest.TestCase):

  def setUp(self):
    folder = tempfile.TemporaryDirectory()
    self.addCleanup(folder.cleanup)
    self.folder = pathlib.Path(folder.name)
    self.local_cluster = local_cluster.LocalCluster(
        self.folder, ('--hosts-lag-s', '0')
    )
    self.addCleanup(self.local_cluster.fleet.stop)
    self.file = self.folder / 'zagovina.json'
    with self.file.open('w') as file:
      zagovina.make_deployment().print_json(file)

  def run_command(self, *arguments: str, expected: int = 0):
    result = testing.CliRunner().invoke(
        operate.main,
        [
            '--platform-url',
            self.local_cluster.platform_url,
            '--operator',
            'ana',
            *arguments,
        ],
    )
    self.assertEqual(result.exit_code, expected, result.output)
    return result.output

  def test_plan_apply_show_and_conflict(self):
    file = str(self.file)
    planned = self.run_command('plan', file)
    self.assertIn('planned on generation 0', planned)
    self.assertIn('+ models dispatch-assistant', planned)
    self.assertIn('--planned-on 0', planned)
    applied = self.run_command('apply', file, '--planned-on', '0')
    self.assertIn('accepted as generation 1', applied)
    self.assertIn('nothing would change', self.run_command('plan', file))
    shown = self.run_command('show')
    self.assertEqual(shown, self.file.read_text())
    conflict = self.run_command(
        'apply',
        file,
        '--planned-on',
        '0',
        expected=operate_session.EXIT_CONFLICT,
    )
    self.assertIn('applied by ana', conflict)
    self.assertIn('mulberrypick plan', conflict)
    self.assertIn('0 parts removed', self.run_command('tidy'))

  def test_lost_response_is_resolved(self):
    urllib3.PoolManager(retries=False).request(
        'POST',
        f'{self.local_cluster.platform_url}/faults',
        json={'lose_answers': 1, 'lose_prefix': 'config/head'},
    )
    applied = self.run_command('apply', str(self.file), '--planned-on', '0')
    self.assertIn('accepted as generation 1', applied)

  def test_drain_and_undrain(self):
    self.run_command(
        'drain', 'engine-1', expected=operate_session.EXIT_NOT_FOUND
    )
    address = launcher.free_address('127.0.0.1')
    host = launcher.make_host('engine-1', 1, records.HOST_ENGINE, address)
    self.local_cluster.fleet.put_host(host)
    self.assertIn('is to be drained', self.run_command('drain', 'engine-1'))
    repeated = json.loads(
        self.run_command('drain', 'engine-1', '--output', 'json')
    )
    self.assertFalse(repeated['was_changed'])
    status = json.loads(self.run_command('status', '--output', 'json'))
    self.assertEqual(status['drains'], ['engine-1'])
    self.assertIn('may serve', self.run_command('undrain', 'engine-1'))
    self.run_command(
        'undrain', 'engine-1', expected=operate_session.EXIT_NOT_FOUND
    )

  def test_only_engines_can_be_drained(self):
    for name, kind in (
        ('desk-1', records.HOST_SERVICE),
        ('entry-1', records.HOST_ENTRY),
    ):
      address = launcher.free_address('127.0.0.1')
      host = launcher.make_host(name, 1, kind, address)
      self.local_cluster.fleet.put_host(host)
      self.run_command('drain', name, expected=operate_session.EXIT_NOT_FOUND)
    status = json.loads(self.run_command('status', '--output', 'json'))
    self.assertEqual(status['drains'], [])

  def test_status_of_entry_and_of_unreachable_hosts(self):
    self.local_cluster.apply(self.file.read_bytes())
    entry = self.local_cluster.spawn_entry('entry-1', 1, '--notice-s', '0')
    self.local_cluster.wait_entries()
    unreachable = launcher.free_address('127.0.0.1')
    entries = f'{entry.operator_address},{unreachable}'
    shown = self.run_command(
        '--entries', entries, 'status', expected=operate_session.EXIT_PARTIAL
    )
    self.assertIn('configuration: generation 1, applied by', shown)
    self.assertRegex(shown, r'entry-1 +\S+ +ready +1 ')
    self.assertIn(f'no answer from {unreachable}', shown)
    unknown = self.run_command(
        '--entries',
        entry.operator_address,
        'explain',
        'no-such-request',
        expected=operate_session.EXIT_NOT_FOUND,
    )
    self.assertIn('no entry that answered knows', unknown)


class TestToBuiltins(unittest.TestCase):

  def test_records_become_dictionaries_at_any_depth(self):
    rank = records.Rank('r', True, 1.0, 1.0, 1.0, 0.0)
    plain = operate_session.to_builtins({'a': (rank,)})
    self.assertEqual(plain['a'][0]['name'], 'r')
