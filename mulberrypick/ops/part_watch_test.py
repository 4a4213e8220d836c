"""Tests of the refusal of requests with parts that crash endpoints."""

import unittest

from mulberrypick.core import crashing_parts
from mulberrypick.core import gateway_records
from mulberrypick.core import part_exchange
from mulberrypick.core import request_placement_test
from mulberrypick.ops import part_watch

FIRST, CRASHING = 1, 2
KEYS = frozenset((FIRST, CRASHING))
LAST_AT = 12.0
PROBE_S = crashing_parts.PROBE_S


def make_call(number: int, *parts: int) -> gateway_records.Call:
  """Returns a request with these parts and one of its own."""
  call = request_placement_test.make_call(number, 0.0)
  keys = [*parts, 1000 + number]
  return call._replace(
      parts=tuple(gateway_records.PromptPart(key, 100) for key in keys)
  )


class PartWatchTest(unittest.TestCase):

  def setUp(self):
    self.changes = []
    self.watch = part_watch.PartWatch(self.changes.append)
    for number in range(3):
      self.crash(number, 10.0 + number)

  def crash(self, number: int, at: float) -> None:
    self.watch.record_crash((f'e{number}', 1), number, KEYS, at, at)

  def may_send(self, number: int, now: float, rank: int | None = 0) -> bool:
    call = make_call(number, FIRST, CRASHING)
    return self.watch.admit(call, rank, now) is None

  def test_request_with_all_refused_parts_is_not_sent(self):
    refusal = self.watch.find_refusal(make_call(9, FIRST, CRASHING, 7))
    self.assertEqual(refusal.keys, KEYS)
    self.assertIsNone(self.watch.find_refusal(make_call(9, FIRST, 7)))
    self.assertIsNone(self.watch.find_refusal(make_call(9, CRASHING)))

  def test_request_whose_last_part_is_refused_is_sent(self):
    call = make_call(9, FIRST, CRASHING)
    call = call._replace(parts=call.parts[:-1])
    self.assertIsNone(self.watch.find_refusal(call))

  def test_one_request_is_let_through_after_a_while_without_a_crash(self):
    self.assertFalse(self.may_send(10, LAST_AT + PROBE_S - 1.0))
    self.assertTrue(self.may_send(11, LAST_AT + PROBE_S + 1.0))
    self.assertFalse(self.may_send(12, LAST_AT + PROBE_S + 1.1))
    # It may still be sent after its prompt was read.
    call = make_call(11, FIRST, CRASHING)
    self.assertIsNone(self.watch.find_refusal(call))

  def test_request_that_was_let_through_crashes_an_endpoint(self):
    crash_at = LAST_AT + PROBE_S + 1.0
    self.assertTrue(self.may_send(11, crash_at))
    self.crash(11, crash_at + 0.1)
    call = make_call(11, FIRST, CRASHING)
    self.assertIsNotNone(self.watch.find_refusal(call))
    self.assertFalse(self.may_send(12, crash_at + PROBE_S + 1.0))
    later = crash_at + PROBE_S * crashing_parts.PROBE_FACTOR + 1.0
    self.assertTrue(self.may_send(13, later))

  def test_at_most_three_are_let_through_within_the_time_of_the_evidence(self):
    sent = []
    now = LAST_AT
    while now < LAST_AT + 600.0:
      number = 100 + len(sent)
      if self.may_send(number, now):
        sent.append(now)
        self.crash(number, now + 0.1)
      now += 0.5
    self.assertLessEqual(len(sent), 3)

  def test_hosts_take_turns(self):
    now = LAST_AT + PROBE_S + 1.0
    self.assertFalse(self.may_send(10, now, None))
    self.assertFalse(self.may_send(10, now, 1))
    self.assertTrue(self.may_send(10, now + part_watch.PROBE_TURN_S, 1))

  def test_host_that_learns_of_a_refusal_late_waits_first(self):
    news = self.watch.take_news(LAST_AT)
    other = part_watch.PartWatch()
    late = LAST_AT + 100.0
    reports = [r._replace(age_s=r.age_s + 100.0) for r in news.crashes]
    other.merge_news(part_exchange.PartNews(tuple(reports)), 'h1', False, late)
    call = make_call(10, FIRST, CRASHING)
    self.assertIsNotNone(other.admit(call, 0, late + 1.0))
    self.assertIsNone(other.admit(call, 0, late + PROBE_S + 1.0))

  def test_refusal_ends_when_an_answer_is_complete(self):
    self.watch.record_completion(KEYS, LAST_AT + 1.0, LAST_AT + 2.0)
    self.assertTrue(self.may_send(9, LAST_AT + 2.0))
    self.assertEqual(
        self.changes,
        [
            part_watch.RefusalChange(KEYS, True),
            part_watch.RefusalChange(KEYS, False),
        ],
    )

  def test_refusal_becomes_wider_when_a_part_is_known_to_be_sound(self):
    completed = frozenset((FIRST,))
    self.watch.record_completion(completed, LAST_AT + 1.0, LAST_AT + 2.0)
    call = make_call(9, CRASHING)
    self.assertIsNotNone(self.watch.find_refusal(call))

  def test_refusal_ends_when_endpoints_are_alive(self):
    self.watch.record_alive(('e0', 1), LAST_AT, float('-inf'), LAST_AT)
    self.assertTrue(self.may_send(9, LAST_AT))

  def test_refusal_ends_when_its_crashes_are_old(self):
    self.watch.expire(LAST_AT + 700.0)
    self.assertTrue(self.may_send(9, LAST_AT + 700.0, None))

  def test_log_tells_parts_crashes_sources_and_the_end(self):
    news = self.watch.take_news(LAST_AT)
    other = part_watch.PartWatch()
    with self.assertLogs(part_watch.__name__, 'INFO') as lines:
      other.merge_news(news, 'host-2', False, LAST_AT)
      other.record_completion(KEYS, LAST_AT + 1.0, LAST_AT + 1.0)
    self.assertEqual(len(lines.output), 2)
    self.assertIn("'parts_refused'", lines.output[0])
    self.assertIn("'parts': '00000001,00000002'", lines.output[0])
    self.assertIn('e0/1:host-2,e1/1:host-2,e2/1:host-2', lines.output[0])
    self.assertIn("'parts_refusal_ended'", lines.output[1])
    self.assertIn("'reason': 'completed'", lines.output[1])
    self.assertIn('00000001:own', lines.output[1])

  def test_log_lines_are_limited_and_those_left_out_are_counted(self):
    excess = 5
    with self.assertLogs(part_watch.__name__, 'INFO') as lines:
      for number in range(part_watch.MAX_LINES_PER_S + excess):
        first = 100 + 10 * number
        keys = frozenset((first,))
        crash_at = LAST_AT + number
        for request in range(3):
          key = (f'x{number}-{request}', 1)
          at = crash_at + 0.2 * request
          self.watch.record_crash(key, first + request, keys, at, 30.5)
      self.watch.record_completion(KEYS, 31.0, 31.5)
    self.assertEqual(len(lines.output), part_watch.MAX_LINES_PER_S + 2)
    self.assertIn(f"'count': {excess}", lines.output[-2])


if __name__ == '__main__':
  unittest.main()
