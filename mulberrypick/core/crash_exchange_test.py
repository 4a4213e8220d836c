"""Tests of the exchange of crashes between many hosts."""

import math
import random
import unittest

from mulberrypick.core import crash_exchange
from mulberrypick.core import quarantine

CRASHING, OTHER_CRASHING, CONCURRENT = 1, 2, 3
INTERVAL_S = 4.0
REPEATS = 40
# Time after the third crash in which a request may still be sent, and how many
# may be sent later.
STABLE_S = 3.0
MAX_LATE = 3
RESTARTS_PER_STEP = 0.05
# Time for which a host that started asks others to repeat what they know.
START_S = 1.0


class Fleet:
  """Hosts that receive requests which crash endpoints, and report crashes.

  With groups, one host of each, its relay, forwards the reports.

  Attributes:
    now: The time.
    relay_position: Position of the relay in its group.
    crashed_by_hash: Number of endpoints that each request crashed.
  """

  def __init__(self, hosts: int, group_size: int = 0):
    self.now = 0.0
    self.crashed_by_hash: dict[int, int] = {}
    self.hosts = [quarantine.Quarantine() for _ in range(hosts)]
    self.relay_position = 0
    self._group_size = group_size
    self._endpoints = 0
    self._asks_until = float('-inf')

  def crash(self, host: int, has_token: bool, *fingerprints: int) -> None:
    """Runs requests together on a new endpoint; the first one crashes it.

    Those that the host refuses do not run.
    """
    found = self.hosts[host]
    running = []
    for fingerprint in fingerprints:
      if found.verdict(fingerprint, self.now) != quarantine.REFUSED:
        running.append(fingerprint)
    if not running or running[0] != fingerprints[0]:
      return
    self._endpoints += 1
    crashed = self.crashed_by_hash.get(fingerprints[0], 0)
    self.crashed_by_hash[fingerprints[0]] = crashed + 1
    for fingerprint in running:
      found.record_broken_attempt(
          f'e{self._endpoints}', 1, fingerprint, has_token, self.now
      )

  def exchange(self, cut: tuple[int, ...] = ()) -> None:
    """Delivers what hosts have to send, but not between `cut` and others."""
    self.now += 0.05
    if self.now < self._asks_until:
      for host in self.hosts:
        host.exchange.repeat_soon(self.now)
    for sender, host in enumerate(self.hosts):
      news = host.exchange.take_news(self.now)
      for receiver in self._receivers(sender):
        if (sender in cut) == (receiver in cut):
          self.hosts[receiver].exchange.merge(
              news, f'h{sender}', self._is_relay(receiver), self.now
          )

  def _is_relay(self, host: int) -> bool:
    if not self._group_size:
      return False
    return host % self._group_size == self.relay_position

  def _receivers(self, sender: int) -> list[int]:
    others = [h for h in range(len(self.hosts)) if h != sender]
    if not self._group_size:
      return others
    group = sender // self._group_size
    if not self._is_relay(sender):
      return [group * self._group_size + self.relay_position]
    return [
        h for h in others if self._is_relay(h) or h // self._group_size == group
    ]

  def restart(self, host: int) -> None:
    """Replaces a host by one that knows nothing, and asks the others."""
    self.hosts[host] = quarantine.Quarantine()
    self._asks_until = self.now + START_S

  def settle(self, cut: tuple[int, ...] = ()) -> None:
    """Exchanges until reports passed two relays."""
    for _ in range(4):
      self.exchange(cut)


class CrashExchangeTest(unittest.TestCase):

  def test_crashes_do_not_grow_with_the_number_of_hosts(self):
    for hosts, group_size in ((1, 0), (6, 0), (9, 0), (30, 10), (91, 10)):
      for has_token, allowed in ((False, 2), (True, 3)):
        with self.subTest(hosts=hosts, has_token=has_token):
          fleet = Fleet(hosts, group_size)
          for number in range(REPEATS):
            fleet.crash(number % hosts, has_token, CRASHING)
            fleet.settle()
            fleet.now += INTERVAL_S
          self.assertEqual(fleet.crashed_by_hash[CRASHING], allowed)

  def test_crashes_at_several_hosts_before_any_report_arrives(self):
    fleet = Fleet(9)
    for host in range(9):
      fleet.crash(host, False, CRASHING)
    fleet.settle()
    for host in range(9):
      fleet.crash(host, False, CRASHING)
    self.assertEqual(fleet.crashed_by_hash[CRASHING], 9)

  def test_two_crashing_requests_at_once(self):
    fleet = Fleet(9)
    for number in range(REPEATS):
      fleet.crash(number % 9, True, CRASHING)
      fleet.crash((number + 4) % 9, True, OTHER_CRASHING)
      fleet.settle()
      fleet.now += INTERVAL_S
    self.assertEqual(fleet.crashed_by_hash, {CRASHING: 3, OTHER_CRASHING: 3})

  def test_hosts_that_restart_learn_of_the_refusal(self):
    fleet = Fleet(9)
    for number in range(REPEATS):
      fleet.crash(number % 9, True, CRASHING)
      fleet.settle()
      fleet.hosts[(number + 1) % 9] = quarantine.Quarantine()
      for _ in range(25):
        fleet.exchange()
      fleet.now += INTERVAL_S
    self.assertEqual(fleet.crashed_by_hash[CRASHING], 3)

  def test_few_late_retries_while_hosts_restart(self):
    for seed in range(80):
      rng = random.Random(seed)
      fleet = Fleet(6)
      crashes = late = 0
      third_at = math.inf
      for step in range(800):
        if rng.random() < RESTARTS_PER_STEP:
          fleet.restart(rng.randrange(6))
        if step % 18 == 0:
          host = rng.randrange(6)
          # A request is sent to two endpoints.
          for _ in range(2):
            fleet.crash(host, seed % 2 == 0, CRASHING)
          sent = fleet.crashed_by_hash[CRASHING] - crashes
          crashes += sent
          if crashes >= 3:
            third_at = min(third_at, fleet.now)
          late += sent > 0 and fleet.now > third_at + STABLE_S
        fleet.exchange()
      self.assertLessEqual(late, MAX_LATE, f'seed {seed}')

  def test_crashes_are_counted_while_relays_change(self):
    for has_token, allowed in ((False, 2), (True, 3)):
      fleet = Fleet(30, 10)
      for number in range(REPEATS):
        fleet.crash(number * 7 % 30, has_token, CRASHING)
        fleet.exchange()
        fleet.relay_position = number % 10
        for _ in range(25):
          fleet.exchange()
        fleet.now += INTERVAL_S
      self.assertEqual(fleet.crashed_by_hash[CRASHING], allowed)

  def test_each_side_of_a_cut_counts_for_itself_until_it_heals(self):
    for has_token, allowed in ((False, 2), (True, 3)):
      fleet = Fleet(9)
      for number in range(REPEATS):
        fleet.crash(number % 9, has_token, CRASHING)
        fleet.settle(cut=(7, 8) if number < REPEATS / 2 else ())
        fleet.now += INTERVAL_S
      # The sides together stay within the three crashes and three retries.
      self.assertLessEqual(fleet.crashed_by_hash[CRASHING], 2 * allowed)

  def test_hosts_that_were_cut_off_learn_of_the_refusal(self):
    fleet = Fleet(9)
    for number in range(3):
      fleet.crash(number, True, CRASHING)
      fleet.settle(cut=(7, 8))
    fleet.now += 60.0
    for _ in range(25):
      fleet.exchange()
    for host in range(9):
      fleet.crash(host, True, CRASHING)
    self.assertEqual(fleet.crashed_by_hash[CRASHING], 3)

  def test_concurrent_requests_on_all_hosts_are_not_refused(self):
    fleet = Fleet(9)
    concurrent = [100 + number for number in range(20)]
    for number in range(REPEATS):
      fleet.crash(number % 9, True, CRASHING, *concurrent[number::REPEATS])
      fleet.settle()
      fleet.now += INTERVAL_S
    self.assertEqual(fleet.crashed_by_hash[CRASHING], 3)
    for host in fleet.hosts:
      for fingerprint in concurrent:
        self.assertNotEqual(
            host.verdict(fingerprint, fleet.now), quarantine.REFUSED
        )

  def test_request_that_ran_to_its_end_elsewhere_is_not_refused(self):
    for group_size in (0, 3):
      fleet = Fleet(9, group_size)
      for number in range(3):
        fleet.crash(number, False, CRASHING, CONCURRENT)
        fleet.settle()
        fleet.hosts[8].record_completion(CONCURRENT, fleet.now)
        fleet.settle()
        fleet.now += INTERVAL_S
      for host in fleet.hosts:
        self.assertEqual(host.verdict(CRASHING, fleet.now), quarantine.REFUSED)
        self.assertEqual(host.verdict(CONCURRENT, fleet.now), quarantine.CLEAR)

  def test_request_that_ran_to_its_end_shortly_before_is_not_refused(self):
    fleet = Fleet(9, 3)
    fleet.hosts[8].record_completion(CONCURRENT, 0.0)
    for number in range(3):
      fleet.crash(number, False, CRASHING, CONCURRENT)
      fleet.settle()
    for host in fleet.hosts:
      self.assertEqual(host.verdict(CRASHING, fleet.now), quarantine.REFUSED)
      self.assertEqual(host.verdict(CONCURRENT, fleet.now), quarantine.CLEAR)

  def test_reports_of_a_crash_that_is_known_add_nothing(self):
    fleet = Fleet(3)
    fleet.crash(0, False, CRASHING)
    news = fleet.hosts[0].exchange.take_news(0.0)
    for source in ('h0', 'h2', 'h0'):
      fleet.hosts[1].exchange.merge(news, source, False, 0.1)
    self.assertEqual(fleet.hosts[1].verdict(CRASHING, 0.2), quarantine.SUSPECT)
    self.assertEqual(len(fleet.hosts[1].crashes(CRASHING)), 1)

  def test_messages_are_empty_without_crashes_and_bounded_with_many(self):
    fleet = Fleet(1)
    host = fleet.hosts[0]
    self.assertEqual(host.exchange.take_news(0.0), crash_exchange.CrashNews())
    for number in range(4):
      for fingerprint in range(500):
        host.record_broken_attempt(f'e{number}', 1, fingerprint, False, 1.0)
    host.exchange.take_news(2.0)
    repeated = set()
    for report in host.exchange.take_news(4.0).crashes:
      repeated.update(report.fingerprints)
    self.assertEqual(len(repeated), crash_exchange.MAX_REPEATED)

  def test_reports_of_old_crashes_are_ignored(self):
    host = quarantine.Quarantine()
    report = crash_exchange.CrashReport(
        'e1', 1, crash_exchange.MAX_AGE_S + 1.0, False, (CRASHING,)
    )
    news = crash_exchange.CrashNews((report,))
    self.assertEqual(host.exchange.merge(news, 'h2', False, 0.0), [])


if __name__ == '__main__':
  unittest.main()
