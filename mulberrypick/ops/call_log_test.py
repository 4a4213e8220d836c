"""Tests of the bound on the volume of logged decisions."""

import unittest

from mulberrypick.ops import call_log
from mulberrypick.ops import stop_guard

RARE_OUTCOMES = (
    'cut',
    'failed',
    'broke',
    'left',
    'retried',
    'resumed',
    'waited',
    'moved',
    'passed_on',
    'taken',
    'undelivered',
)
# More decisions of a kind than are logged in a second.
FLOOD = 10 * call_log.MAX_LINES_PER_S
NOW = 5.0


class CallLogTest(unittest.TestCase):

  def setUp(self):
    self.log = call_log.CallLog()

  def record(self, outcome: str, count: int = 1, now: float = NOW) -> None:
    for _ in range(count):
      self.log.record(outcome, 'r', now, 'ask', request=outcome)

  def count_lines(self, lines, event: str) -> int:
    return sum(f"'event': '{event}'" in line for line in lines.output)

  def test_flood_of_refusals_hides_no_cut_or_failed_answer(self):
    with self.assertLogs(call_log.__name__, 'INFO') as lines:
      self.record('refused', FLOOD)
      for outcome in RARE_OUTCOMES:
        self.record(outcome)
    for outcome in RARE_OUTCOMES:
      self.assertEqual(self.count_lines(lines, f'call_{outcome}'), 1, outcome)

  def test_flood_of_any_kind_hides_no_cut_stream(self):
    for outcome in ('served', 'refused', 'failed', 'broke', 'left', 'retried'):
      self.log = call_log.CallLog()
      with self.assertLogs(call_log.__name__, 'INFO') as lines:
        self.record(outcome, call_log.SERVED_PER_LOG_LINE * FLOOD)
        self.record('cut')
      self.assertEqual(self.count_lines(lines, 'call_cut'), 1, outcome)

  def test_each_slow_stream_is_logged_but_not_each_served_one(self):
    with self.assertLogs(call_log.__name__, 'INFO') as lines:
      for reason in ('stream', call_log.SLOW_STREAM):
        for _ in range(10):
          self.log.record('served', reason, NOW, 'ask')
    self.assertEqual(self.count_lines(lines, 'call_served'), 10)

  def test_flood_of_all_kinds_stays_within_the_bound(self):
    with self.assertLogs(call_log.__name__, 'INFO') as lines:
      for _ in range(call_log.SERVED_PER_LOG_LINE * FLOOD):
        for outcome in ('served', 'refused', *RARE_OUTCOMES):
          self.record(outcome)
    self.assertEqual(len(lines.output), call_log.MAX_LINES_PER_S)

  def test_all_requests_that_a_stop_ends_are_logged(self):
    # Guards against requests that end in a stop without a line: all that are
    # open end at one moment, beside refusals of many more.
    with self.assertLogs(call_log.__name__, 'INFO') as lines:
      for _ in range(FLOOD):
        for outcome in ('refused', 'cut', 'failed'):
          self.log.record(
              outcome, stop_guard.STOPPING, NOW, 'ask', request=outcome
          )
    for outcome in ('refused', 'cut', 'failed'):
      self.assertEqual(
          self.count_lines(lines, f'call_{outcome}'), FLOOD, outcome
      )

  def test_lines_about_a_stop_are_bounded(self):
    flood = 2 * call_log.MAX_STOP_LINES
    with self.assertLogs(call_log.__name__, 'INFO') as lines:
      for _ in range(flood):
        self.log.record('refused', stop_guard.STOPPING, NOW, 'ask')
      self.log.record('cut', stop_guard.STOPPING, NOW, 'ask')
      self.log.report_left_out()
    written = self.count_lines(lines, 'call_refused')
    self.assertLessEqual(
        written, call_log.MAX_STOP_LINES + call_log.MAX_LINES_PER_S
    )
    self.assertEqual(self.count_lines(lines, 'call_cut'), 1)
    self.assertIn(f"'count': {flood - written}", lines.output[-1])
    self.assertEqual(self.log.count_ended_by_stop()['refused'], flood)

  def test_left_out_lines_are_counted_by_kind(self):
    with self.assertLogs(call_log.__name__, 'INFO') as lines:
      self.record('refused', FLOOD)
      self.record('cut', FLOOD)
      self.record('refused', now=NOW + 1)
    refused = FLOOD + 1 - self.count_lines(lines, 'call_refused')
    cut = FLOOD - self.count_lines(lines, 'call_cut')
    self.assertEqual(self.count_lines(lines, 'lines_left_out'), 1)
    line = next(line for line in lines.output if 'lines_left_out' in line)
    self.assertIn(f"'count': {refused + cut}", line)
    self.assertIn(f"'refused': {refused}", line)
    self.assertIn(f"'cut': {cut}", line)

  def test_left_out_lines_are_counted_at_the_end_of_the_process(self):
    # Guards against requests that are cut in the last second of a stop, and of
    # which no line tells, not even how many there were.
    with self.assertLogs(call_log.__name__, 'INFO') as lines:
      self.record('cut', FLOOD)
      self.log.report_left_out()
      self.log.report_left_out()
    cut = FLOOD - self.count_lines(lines, 'call_cut')
    self.assertEqual(self.count_lines(lines, 'lines_left_out'), 1)
    self.assertIn(f"'cut': {cut}", lines.output[-1])

  def test_all_decisions_are_counted(self):
    with self.assertLogs(call_log.__name__, 'INFO'):
      self.record('refused', FLOOD)
      self.record('cut', FLOOD)
    self.assertEqual(
        self.log.count_by_outcome,
        {('refused', 'r', 'ask'): FLOOD, ('cut', 'r', 'ask'): FLOOD},
    )

  def record_and_count(self, event: str, outcome: str, count: int) -> int:
    """Records decisions within one second; returns the lines that name them."""
    with self.assertLogs('mulberrypick.ops.call_log', 'INFO') as logs:
      for number in range(count):
        self.log.record(outcome, 'reason', 7.0 + number / 1000, 'route')
    return sum(event in line for line in logs.output)

  def test_many_refusals_do_not_suppress_lines_of_cut_answers(self):
    self.assertEqual(
        self.record_and_count('call_refused', 'refused', 100),
        call_log.SHARED_LINES_PER_S,
    )
    self.assertEqual(self.record_and_count('call_cut', 'cut', 10), 10)

  def test_lines_of_cut_answers_are_limited(self):
    self.assertEqual(
        self.record_and_count('call_cut', 'cut', 100),
        call_log.RESERVED_LINES_BY_OUTCOME['cut'] + call_log.SHARED_LINES_PER_S,
    )


if __name__ == '__main__':
  unittest.main()
