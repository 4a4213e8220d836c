"""Repeats a call that is late, on another connection.

A connection may go silent for good while new ones work. The second call finds
out long before the time limit of the first one.
"""

import asyncio
from collections.abc import Callable
from collections.abc import Coroutine
from typing import Any
from typing import NamedTuple
from typing import TypeVar

_T = TypeVar('_T')


class Hedged(NamedTuple):
  """The result of a call that may have been repeated.

  Attributes:
    result: What the call returned that answered first.
    is_second: Whether that is the second call.
  """

  result: Any
  is_second: bool


async def run(
    first: Coroutine[Any, Any, _T],
    late_after_s: float,
    start_second: Callable[[], Coroutine[Any, Any, _T]],
) -> Hedged:
  """Runs a call that may be made twice; returns the first result.

  The other call is cancelled.

  Args:
    first: The call.
    late_after_s: Time after which it is late.
    start_second: Makes the second call, once the first one is late.

  Raises:
    Exception: That of the first call if it failed before it was late, or if
      both failed.
  """
  first_task = asyncio.ensure_future(first)
  tasks = [first_task]
  try:
    await asyncio.wait(tasks, timeout=late_after_s)
    if first_task.done():
      return Hedged(first_task.result(), False)
    tasks.append(asyncio.ensure_future(start_second()))
    await asyncio.wait(tasks, return_when=asyncio.FIRST_COMPLETED)
    if any(task.done() and task.exception() for task in tasks):
      # The other one may still answer.
      await asyncio.wait(tasks)
    for task in tasks:
      if task.done() and not task.exception():
        return Hedged(task.result(), task is not first_task)
    return Hedged(first_task.result(), False)
  finally:
    for task in tasks:
      task.cancel()
    await asyncio.gather(*tasks, return_exceptions=True)
