"""Tests of the entry as a process: successful and failed starts."""

import socket
import subprocess
import sys
import unittest

TIMEOUT_S = 60.0


def run_entry(*flags: str) -> subprocess.CompletedProcess:
  command = [sys.executable, '-m', 'mulberrypick.scripts.entry', *flags]
  return subprocess.run(
      command, timeout=TIMEOUT_S, capture_output=True, text=True, check=False
  )


class TestEntryProcess(unittest.TestCase):

  def test_exits_if_its_address_is_in_use(self):
    with socket.create_server(('127.0.0.1', 0)) as taken:
      port = taken.getsockname()[1]
      ended = run_entry(
          '--name=entry-1',
          '--zone=zone-1',
          f'--listen=127.0.0.1:{port}',
          '--operator-listen=127.0.0.1:0',
          '--peer-listen=127.0.0.1:0',
          '--platform-url=http://127.0.0.1:9',
      )
    self.assertEqual(1, ended.returncode)
    self.assertIn('Address already in use', ended.stderr)

  def test_all_invalid_settings_are_reported_together(self):
    ended = run_entry('--name=Entry 1', '--listen=here', '--threads=0')
    self.assertEqual(2, ended.returncode)
    for flag in ('--name', '--zone', '--listen', '--platform-url', '--threads'):
      self.assertIn(f'{flag} (MULBERRYPICK_', ended.stderr)

  def test_settings_are_printed_without_secrets(self):
    ended = run_entry(
        '--name=entry-1',
        '--zone=zone-1',
        '--platform-url=http://127.0.0.1:9',
        '--operator-token=secret-7',
        '--print-settings',
    )
    self.assertEqual(0, ended.returncode)
    self.assertIn('MULBERRYPICK_ZONE=zone-1', ended.stdout)
    self.assertNotIn('secret-7', ended.stdout)


if __name__ == '__main__':
  unittest.main()
