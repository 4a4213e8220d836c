"""Runs all unit tests, and lets pass only the failures that KNOWN-RED lists.

A known-red entry that passes again fails the run: the entry has to go.
"""

import pathlib
import sys
import unittest

KNOWN_RED_FILE = 'KNOWN-RED.txt'
TEST_ROOTS = ('mulberrypick', 'standins', 'examples', 'spec')


def read_known_red(path: pathlib.Path) -> dict[str, str]:
  """Reads the known-red entries.

  Args:
    path: The file, one `test id | command | seen | issue` entry a line.

  Returns:
    The whole entry by test id.
  """
  entry_by_test = {}
  for line in path.read_text().splitlines():
    if not line.strip() or line.startswith('#'):
      continue
    entry_by_test[line.split('|')[0].strip()] = line
  return entry_by_test


def load_tests(root: pathlib.Path) -> unittest.TestSuite:
  """Collects every `*_test.py` below the test roots, in a stable order."""
  loader = unittest.TestLoader()
  suite = unittest.TestSuite()
  for test_root in TEST_ROOTS:
    for path in sorted((root / test_root).rglob('*_test.py')):
      module = '.'.join(path.relative_to(root).with_suffix('').parts)
      suite.addTests(loader.loadTestsFromName(module))
  if loader.errors:
    raise ImportError('\n'.join(loader.errors))
  return suite


def main() -> int:
  """Runs the tests and prints the closing line."""
  root = pathlib.Path.cwd()
  entry_by_test = read_known_red(root / KNOWN_RED_FILE)
  result = unittest.TextTestRunner(verbosity=1).run(load_tests(root))
  failed = {case.id() for case, _ in result.failures + result.errors}
  unexpected = failed - set(entry_by_test)
  mended = {test for test in entry_by_test if test not in failed}
  for test in sorted(failed & set(entry_by_test)):
    print(f'known red: {entry_by_test[test]}')
  for test in sorted(mended):
    print(f'listed in {KNOWN_RED_FILE} but passes: {test}')
  print(f'{result.testsRun - len(failed)} passed, {len(unexpected)} failed')
  return 1 if unexpected or mended else 0


if __name__ == '__main__':
  sys.exit(main())
