"""Tests of the estimate of the contents of an engine's cache."""

import unittest

from mulberrypick.core import gateway_records
from mulberrypick.core import part_cache

Part = gateway_records.PromptPart


class PartCacheTest(unittest.TestCase):

  def test_a_part_counts_only_if_all_before_it_are_cached(self):
    cache = part_cache.PartCache()
    cache.store('b', 50, 0.0)
    parts = (Part('a', 100), Part('b', 50))
    self.assertEqual(cache.uncached_tokens(parts), 150)
    cache.store('a', 100, 0.0)
    self.assertEqual(cache.uncached_tokens(parts), 0)

  def test_least_recently_used_parts_are_evicted(self):
    cache = part_cache.PartCache()
    cache.set_memory(int(200 / part_cache.CACHE_FRACTION) + 1)
    cache.store('a', 100, 0.0)
    cache.store('b', 100, 0.0)
    cache.store('a', 100, 0.0)
    cache.store('c', 100, 0.0)
    self.assertEqual(cache.uncached_tokens((Part('a', 100),)), 0)
    self.assertEqual(cache.uncached_tokens((Part('b', 100),)), 100)

  def test_parts_announced_before_the_memory_is_known_are_stored(self):
    # Parts that are announced before the service of the engine is known must
    # be stored. Otherwise hosts that first learn of an engine from another host
    # treat all its parts as uncached, and estimate wrong prefill rates.
    cache = part_cache.PartCache()
    cache.store('a', 100, 0.0)
    cache.set_memory(1000)
    self.assertEqual(cache.uncached_tokens((Part('a', 100),)), 0)

  def test_part_in_use_is_announced_once_per_interval(self):
    # Announcing each part at each use overloads the relays: at 77 hosts, every
    # host received 85 KB/s, and relays fell behind by seconds.
    cache = part_cache.PartCache()
    self.assertTrue(cache.should_announce('a', 10.0))
    announced = 0
    for step in range(100):
      now = 10.0 + 0.05 * step
      announced += cache.should_announce('a', now)
      cache.store('a', 100, now)
    self.assertEqual(announced, 3)
    self.assertFalse(cache.should_announce('a', 15.0))
    self.assertTrue(
        cache.should_announce('a', 15.0 + part_cache.ANNOUNCE_INTERVAL_S)
    )

  def test_evicted_part_is_announced_again(self):
    cache = part_cache.PartCache()
    cache.set_memory(int(100 / part_cache.CACHE_FRACTION) + 1)
    cache.store('a', 100, 1.0)
    cache.store('b', 100, 1.0)
    self.assertTrue(cache.should_announce('a', 1.1))


if __name__ == '__main__':
  unittest.main()
