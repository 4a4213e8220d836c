"""Runs all unit tests and tolerates only the failures listed in KNOWN-RED.txt.

Each test module runs in its own process, several at a time. If a test listed in
KNOWN-RED.txt passes, the run fails until its entry is removed.
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
# Modules that run in parallel, per core. Many of them start processes and wait
# for them.
MODULES_PER_CORE = 0.67
# Prefix of the line in which the process of a module reports its result.
RESULT_PREFIX = 'result of module: '


class ModuleResult(NamedTuple):
  """Result of one test module.

  Attributes:
    module: Name of the module.
    run: Number of tests that ran.
    failed: Ids of the tests that failed.
    output: Output of the process.
    took_s: Wall time.
  """

  module: str
  run: int
  failed: tuple[str, ...]
  output: str
  took_s: float


def read_known_red(path: pathlib.Path) -> dict[str, str]:
  """Reads the list of known failures.

  Args:
    path: The file, with one `test id | command | seen | issue` entry per line.

  Returns:
    The line of each entry by test id.
  """
  entry_by_test = {}
  for line in path.read_text().splitlines():
    if not line.strip() or line.startswith('#'):
      continue
    entry_by_test[line.split('|')[0].strip()] = line
  return entry_by_test


def find_modules(root: pathlib.Path) -> list[str]:
  """Returns the module names of all `*_test.py` files, in a stable order."""
  modules = []
  for test_root in TEST_ROOTS:
    for path in sorted((root / test_root).rglob('*_test.py')):
      parts = path.relative_to(root).with_suffix('').parts
      modules.append('.'.join(parts))
  return modules


def run_in_this_process(module: str) -> None:
  """Runs one module in this process and prints its result."""
  loader = unittest.TestLoader()
  suite = loader.loadTestsFromName(module)
  result = unittest.TextTestRunner(verbosity=1).run(suite)
  failed = {case.id() for case, _ in result.failures + result.errors}
  failed.update(case.id() for case in result.unexpectedSuccesses)
  report = {'run': result.testsRun, 'failed': sorted(failed)}
  print(f'\n{RESULT_PREFIX}{json.dumps(report)}', flush=True)


def run_module(module: str) -> ModuleResult:
  """Runs one module in a new process.

  A process that exits without a result counts as a failure of its module.
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
  """Runs the tests and prints a summary; returns the exit status."""
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
