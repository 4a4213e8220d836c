"""Runs all unit tests, and lets pass only the failures that KNOWN-RED lists.

Each test module runs in a process of its own, a few at a time. A known-red
entry that passes again fails the run: the entry has to go.
"""

import concurrent.futures
import json
import os
import pathlib
import subprocess
import sys
import time
import unittest
from typing import NamedTuple

KNOWN_RED_FILE = 'KNOWN-RED.txt'
TEST_ROOTS = ('mulberrypick', 'standins', 'examples', 'spec')
# Modules at a time, for each core: many of them wait for real processes.
MODULES_PER_CORE = 0.67
# Marks the line in which a module's process tells its result.
RESULT_PREFIX = 'result of module: '


class ModuleResult(NamedTuple):
  """What came of one module.

  Attributes:
    module: Its name.
    run: Number of tests.
    failed: Ids of tests that failed.
    output: All that was printed.
    took_s: Wall time.
  """

  module: str
  run: int
  failed: tuple[str, ...]
  output: str
  took_s: float


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


def find_modules(root: pathlib.Path) -> list[str]:
  """Finds every `*_test.py` below the test roots, in a stable order."""
  modules = []
  for test_root in TEST_ROOTS:
    for path in sorted((root / test_root).rglob('*_test.py')):
      parts = path.relative_to(root).with_suffix('').parts
      modules.append('.'.join(parts))
  return modules


def run_in_this_process(module: str) -> None:
  """Runs one module in this process, and prints its result."""
  loader = unittest.TestLoader()
  suite = loader.loadTestsFromName(module)
  result = unittest.TextTestRunner(verbosity=1).run(suite)
  failed = {case.id() for case, _ in result.failures + result.errors}
  failed.update(case.id() for case in result.unexpectedSuccesses)
  report = {'run': result.testsRun, 'failed': sorted(failed)}
  print(f'\n{RESULT_PREFIX}{json.dumps(report)}', flush=True)


def run_module(module: str) -> ModuleResult:
  """Runs one module in a process of its own.

  A process that ends without a result counts as a failure of its module.
  """
  began_at = time.monotonic()
  done = subprocess.run(
      [sys.executable, '-m', 'standins.run_tests', module],
      stdout=subprocess.PIPE,
      stderr=subprocess.STDOUT,
      text=True,
      errors='replace',
      check=False,
  )
  took_s = time.monotonic() - began_at
  for line in reversed(done.stdout.splitlines()):
    if not line.startswith(RESULT_PREFIX):
      continue
    report = json.loads(line.removeprefix(RESULT_PREFIX))
    failed = tuple(report['failed'])
    return ModuleResult(module, report['run'], failed, done.stdout, took_s)
  return ModuleResult(module, 1, (module,), done.stdout, took_s)


def main() -> int:
  """Runs the tests and prints the closing line."""
  if len(sys.argv) > 1:
    run_in_this_process(sys.argv[1])
    return 0
  root = pathlib.Path.cwd()
  entry_by_test = read_known_red(root / KNOWN_RED_FILE)
  modules = find_modules(root)
  workers = max(1, int(MODULES_PER_CORE * (os.cpu_count() or 1)))
  with concurrent.futures.ThreadPoolExecutor(workers) as pool:
    results = list(pool.map(run_module, modules))
  failed: set[str] = set()
  for result in results:
    failed.update(result.failed)
    if result.failed:
      print(result.output)
  slowest = sorted(results, key=lambda result: -result.took_s)[:5]
  for result in slowest:
    print(f'{result.took_s:6.1f} s {result.module}')
  unexpected = failed - set(entry_by_test)
  fixed = {test for test in entry_by_test if test not in failed}
  for test in sorted(failed & set(entry_by_test)):
    print(f'known red: {entry_by_test[test]}')
  for test in sorted(fixed):
    print(f'listed in {KNOWN_RED_FILE} but passes: {test}')
  run = sum(result.run for result in results)
  print(f'{run - len(failed)} passed, {len(unexpected)} failed')
  return 1 if unexpected or fixed else 0


if __name__ == '__main__':
  sys.exit(main())
