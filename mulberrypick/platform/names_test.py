"""Checks that names of the platform's protocol occur only in this package.

These are names of HTTP headers, of JSON fields and of the URL prefix.
"""

import pathlib
import re
import unittest

ROOT = pathlib.Path(__file__).parents[1]
# Distinctive names, which no other code would use by coincidence.
NAMES = re.compile(
    r'(?i:x-mulberrypick-(request-id|deadline|kv|prefix|token|expect|stage))'
    r'|fencingToken|[kK]vHandle|coldRemainingMs|trafficSplit|pathPrefix|routeType'
    r'|currentRev|tombstone|/mulberrypick/',
)


class NamesTest(unittest.TestCase):

  def test_no_other_module_uses_them(self):
    found = []
    for path in sorted(ROOT.rglob('*.py')):
      if path.is_relative_to(ROOT / 'platform'):
        continue
      for number, line in enumerate(path.read_text().splitlines(), 1):
        if NAMES.search(line):
          found.append(f'{path.relative_to(ROOT)}:{number}: {line.strip()}')
    self.assertEqual(found, [])


if __name__ == '__main__':
  unittest.main()
