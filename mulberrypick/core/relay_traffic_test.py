"""Tests of what a relay sends in a flood beside crashes."""

import itertools
import unittest

from mulberrypick.core import relay_traffic

# Receivers of a relay, and sizes of its messages to each, as in a deployment of
# 195 hosts whose engines crash in a flood.
RECEIVERS = 29
LOAD_BYTES = 300
NEWS_BYTES = 2_500
# Interval at which it sends without a limit (s).
INTERVAL_S = 0.037


class RelayTrafficTest(unittest.TestCase):

  def play(self, duration_s: float) -> tuple[list[float], list[float], int]:
    """Lets a relay send for a while; there are always news.

    Returns:
      Times of all messages, times of those with news, and all bytes.
    """
    traffic = relay_traffic.RelayTraffic()
    now, times, news_times, total = 0.0, [], [], 0
    while now < duration_s:
      has_news = traffic.is_news_due(now)
      sent = RECEIVERS * (LOAD_BYTES + (NEWS_BYTES if has_news else 0))
      traffic.record_sent(sent, has_news, now)
      times.append(now)
      if has_news:
        news_times.append(now)
      total += sent
      now += max(INTERVAL_S, traffic.min_interval_s)
    return times, news_times, total

  def test_load_is_not_delayed_by_news(self):
    # Guards against loads that are half a second old at all hosts.
    times, _, _ = self.play(10.0)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    self.assertLess(max(gaps), 0.1)

  def test_news_are_sent_at_least_each_second(self):
    _, times, _ = self.play(10.0)
    gaps = [later - earlier for earlier, later in itertools.pairwise(times)]
    self.assertLess(max(gaps), 1.0)

  def test_traffic_is_bounded(self):
    _, _, total = self.play(10.0)
    limit = (
        relay_traffic.MAX_LOAD_BYTES_PER_S + relay_traffic.MAX_NEWS_BYTES_PER_S
    )
    self.assertLessEqual(total, 11.0 * limit)

  def test_relay_with_little_to_send_is_not_delayed(self):
    traffic = relay_traffic.RelayTraffic()
    traffic.record_sent(500, False, 0.0)
    self.assertLess(traffic.min_interval_s, 0.008)
    traffic.record_sent(1_000, True, 0.0)
    self.assertTrue(traffic.is_news_due(0.008))


if __name__ == '__main__':
  unittest.main()
