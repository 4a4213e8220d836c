"""Tests of calls that are repeated if they are late."""

import asyncio
import unittest

from mulberrypick.adapters import hedged_call

LATE_S = 0.02


class HedgedCallTest(unittest.IsolatedAsyncioTestCase):

  def setUp(self):
    self.calls: list[str] = []
    self.cancelled: list[str] = []

  async def answer(self, name: str, after_s: float, error=None) -> str:
    self.calls.append(name)
    try:
      await asyncio.sleep(after_s)
    except asyncio.CancelledError:
      self.cancelled.append(name)
      raise
    if error is not None:
      raise error
    return name

  async def run_calls(self, first, second) -> hedged_call.Hedged:
    return await hedged_call.run(
        self.answer('first', *first),
        LATE_S,
        lambda: self.answer('second', *second),
    )

  async def test_call_in_time_is_made_once(self):
    self.assertEqual(await self.run_calls((0.0,), (0.0,)), ('first', False))
    self.assertEqual(self.calls, ['first'])

  async def test_late_call_is_made_again(self):
    self.assertEqual(await self.run_calls((5.0,), (0.0,)), ('second', True))
    self.assertEqual(self.cancelled, ['first'])

  async def test_late_answer_counts_if_it_comes_first(self):
    self.assertEqual(await self.run_calls((0.1,), (5.0,)), ('first', False))
    self.assertEqual(self.cancelled, ['second'])

  async def test_failure_of_one_leaves_the_other(self):
    error = ConnectionError('x')
    for first, second, expected in (
        ((0.05, error), (0.2,), ('second', True)),
        ((0.2,), (0.0, error), ('first', False)),
    ):
      self.assertEqual(await self.run_calls(first, second), expected)

  async def test_first_failure_is_raised_if_both_fail(self):
    with self.assertRaises(ConnectionError):
      await self.run_calls((0.1, ConnectionError('x')), (0.0, OSError('y')))

  async def test_cancelled_call_ends_both(self):
    task = asyncio.create_task(self.run_calls((5.0,), (5.0,)))
    await asyncio.sleep(5 * LATE_S)
    task.cancel()
    await asyncio.gather(task, return_exceptions=True)
    self.assertEqual(self.cancelled, ['first', 'second'])


if __name__ == '__main__':
  unittest.main()
