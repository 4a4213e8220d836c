"""Tests of the exchange between hosts of prompt parts that crash endpoints."""

import random
import unittest

import hypothesis
import msgspec
from hypothesis import strategies

from mulberrypick.core import crashing_parts
from mulberrypick.core import part_evidence
from mulberrypick.core import part_exchange

FIRST, CRASHING = 1, 2
INTERVAL_S = 0.2
# Time after the fifth crash in which requests may still be sent, and how many
# may be sent later.
STABLE_S = 3.0
MAX_LATE = 3
EXCHANGE_S = 0.05


class Host:
  """The evidence of one host."""

  def __init__(self):
    self.evidence = part_evidence.PartEvidence()
    self.exchange = part_exchange.PartExchange(self.evidence)

  def refuses(self, keys: set[int]) -> bool:
    return any(r.keys <= keys for r in self.evidence.find_refused())

  def crash(self, key, request: int, keys: set[int], now: float) -> None:
    """Records that an attempt of this host broke off."""
    run = part_evidence.EndedRun(request, frozenset(keys), now)
    if self.evidence.add(key, run, 'own'):
      self.exchange.add_unsent(key, request, now)

  def complete(self, keys: set[int], began_at: float, now: float) -> None:
    """Records that an answer was written to its end."""
    completion = part_evidence.Completion(began_at, 'own')
    for part in keys:
      if self.evidence.record_completion(part, completion):
        self.exchange.add_cleared(part, now)


class Fleet:
  """Hosts that exchange news; with groups, the first one of each forwards."""

  def __init__(self, hosts: int, group_size: int = 0):
    self.now = 100.0
    self.hosts = [Host() for _ in range(hosts)]
    self.crashed_at: list[float] = []
    self.late = 0
    self.sound = [0, 0]
    self.largest_message = 0
    self.bytes = 0
    self._group_size = group_size
    self._numbers = 0

  def send_crashing(self, host: int, *beside: int) -> None:
    """Sends a request with the crashing part unless the host refuses it."""
    self._numbers += 1
    keys = {FIRST, CRASHING, 10 + self._numbers % 4}
    if self.hosts[host].refuses(keys):
      return
    fifth_at = self.crashed_at[4] if len(self.crashed_at) > 4 else self.now
    self.late += self.now > fifth_at + STABLE_S
    self.crashed_at.append(self.now)
    key = (f'e{self._numbers}', 1)
    self.hosts[host].crash(key, self._numbers, keys, self.now)
    for other in beside:
      self._numbers += 1
      # Requests that run beside it belong to the same or to other hosts.
      self.hosts[other].crash(
          key, self._numbers, {FIRST, 10 + self._numbers % 4}, self.now
      )

  def send_sound(self, host: int) -> None:
    """Sends a sound request; its answer is complete 0.3 s later."""
    self._numbers += 1
    keys = {FIRST, 10 + self._numbers % 4}
    is_refused = self.hosts[host].refuses(keys)
    self.sound[is_refused] += 1
    if not is_refused:
      self.hosts[host].complete(keys, self.now - 0.3, self.now)

  def exchange(self) -> None:
    """Delivers what hosts have to send."""
    self.now += EXCHANGE_S
    for sender, host in enumerate(self.hosts):
      refusals = host.evidence.find_refused()
      news = host.exchange.take_news(refusals, self.now)
      size = len(msgspec.msgpack.encode(news))
      self.largest_message = max(self.largest_message, size)
      for receiver in self._receivers(sender):
        self.bytes += size
        self.hosts[receiver].exchange.merge(
            news, f'h{sender}', self._is_relay(receiver), self.now
        )

  def _is_relay(self, host: int) -> bool:
    return bool(self._group_size) and host % self._group_size == 0

  def _receivers(self, sender: int) -> list[int]:
    others = [h for h in range(len(self.hosts)) if h != sender]
    if not self._group_size:
      return others
    group = sender // self._group_size
    if not self._is_relay(sender):
      return [group * self._group_size]
    return [
        h for h in others if self._is_relay(h) or h // self._group_size == group
    ]


class FleetTest(unittest.TestCase):

  def play(self, fleet: Fleet, restarts: bool = False, seed: int = 1) -> None:
    """Sends crashing and sound requests to hosts at random for 30 s."""
    rng = random.Random(seed)
    count = len(fleet.hosts)
    for _ in range(60):
      fleet.send_sound(rng.randrange(count))
      fleet.exchange()
    for step in range(600):
      if step % round(INTERVAL_S / EXCHANGE_S) == 0:
        fleet.send_crashing(rng.randrange(count), rng.randrange(count))
      fleet.send_sound(rng.randrange(count))
      if restarts and step % 20 == 0:
        fleet.hosts[rng.randrange(count)] = Host()
      fleet.exchange()

  def test_crashes_do_not_grow_with_the_number_of_hosts(self):
    for hosts, group_size in ((1, 0), (9, 0), (30, 10)):
      with self.subTest(hosts=hosts):
        fleet = Fleet(hosts, group_size)
        self.play(fleet)
        self.assertLessEqual(len(fleet.crashed_at), 6)
        self.assertEqual(fleet.late, 0)
        self.assertEqual(fleet.sound[True], 0)

  def test_hosts_restart(self):
    for seed in range(5):
      fleet = Fleet(9)
      self.play(fleet, restarts=True, seed=seed)
      self.assertLessEqual(fleet.late, MAX_LATE, f'seed {seed}')
      self.assertEqual(fleet.sound[True], 0, f'seed {seed}')

  def test_many_crashes_before_any_report_arrives(self):
    fleet = Fleet(9)
    for host in range(9):
      fleet.send_crashing(host)
    for _ in range(4):
      fleet.exchange()
    crashes = len(fleet.crashed_at)
    for host in range(9):
      fleet.send_crashing(host)
    self.assertEqual(len(fleet.crashed_at), crashes)

  def test_part_that_one_host_saw_complete_is_cleared_at_all(self):
    for group_size in (0, 3):
      fleet = Fleet(9, group_size)
      for number in range(4):
        fleet.hosts[number].crash((f'e{number}', 1), number, {7}, fleet.now)
        fleet.exchange()
      for _ in range(4):
        fleet.exchange()
      self.assertTrue(all(host.refuses({7}) for host in fleet.hosts))
      fleet.hosts[8].complete({7}, fleet.now, fleet.now + 1.0)
      for _ in range(4):
        fleet.exchange()
      self.assertFalse(any(host.refuses({7}) for host in fleet.hosts))

  def test_answer_that_began_before_a_crash_does_not_clear_of_it(self):
    host = Host()
    for number in range(4):
      host.crash((f'e{number}', 1), number, {7}, 100.0 + number)
    host.complete({7}, 90.0, 110.0)
    self.assertTrue(host.refuses({7}))

  def test_messages_are_empty_without_crashes_and_bounded_with_many(self):
    host = Host()
    host.complete({FIRST}, 99.0, 100.0)
    self.assertEqual(
        host.exchange.take_news([], 100.0), part_exchange.PartNews()
    )
    for crash in range(50):
      for request in range(40):
        first = 1000 * request
        keys = set(range(first, first + crashing_parts.MAX_PARTS))
        host.crash((f'e{crash}', 1), request, keys, 100.0 + crash)
    sizes = []
    for step in range(200):
      news = host.exchange.take_news([], 150.0 + step * EXCHANGE_S)
      sizes.append(len(msgspec.msgpack.encode(news)))
    self.assertLessEqual(max(sizes), 8000)

  def test_reports_of_old_crashes_are_ignored(self):
    host = Host()
    report = part_exchange.PartCrashReport(
        'e1', 1, part_evidence.MAX_AGE_S + 1.0, ((1, (7,)),)
    )
    news = part_exchange.PartNews((report,))
    self.assertFalse(host.exchange.merge(news, 'h2', False, 100.0))


_events = strategies.one_of(
    strategies.tuples(
        strategies.just('crash'),
        strategies.integers(0, 5),
        strategies.integers(0, 4),
        strategies.frozensets(strategies.integers(0, 5), max_size=4),
        strategies.integers(0, 20),
        strategies.booleans(),
    ),
    strategies.tuples(
        strategies.just('complete'),
        strategies.integers(0, 5),
        strategies.integers(0, 20),
    ),
)


class OrderTest(unittest.TestCase):

  @hypothesis.settings(max_examples=400, deadline=None)
  @hypothesis.given(
      strategies.lists(_events, max_size=25), strategies.randoms()
  )
  def test_verdict_does_not_depend_on_the_order_of_reports(self, events, rng):
    shuffled = list(events)
    rng.shuffle(shuffled)
    self.assertEqual(self.verdict(events), self.verdict(shuffled))
    self.assertEqual(self.verdict(events), self.verdict(events + shuffled))

  def verdict(self, events) -> list[frozenset[int]]:
    evidence = part_evidence.PartEvidence()
    for kind, *fields in events:
      if kind == 'crash':
        endpoint, request, keys, at, is_doubtful = fields
        run = part_evidence.EndedRun(request, keys, float(at), is_doubtful)
        evidence.add((f'e{endpoint}', 1), run, 'h')
      else:
        part, at = fields
        evidence.record_completion(
            part, part_evidence.Completion(float(at), 'h')
        )
    return [refusal.keys for refusal in evidence.find_refused()]


if __name__ == '__main__':
  unittest.main()
