"""Replicas that fall silent for a while and then go on.

A silent replica sends nothing to anyone. It keeps its connections and accepts
new ones, and does the rest of its work afterwards.
"""

import asyncio
import enum


class SilencePoint(enum.Enum):
  """Where a request makes its replica fall silent."""

  HEAD = 'head'
  PREFILL = 'prefill'
  STREAM = 'stream'


class Silence:
  """When one replica is silent.

  Attributes:
    count: Number of silences that began.
  """

  def __init__(self):
    self.count = 0
    self._until = float('-inf')
    self._planned: SilencePoint | None = None
    self._duration_s = 0.0

  @property
  def is_silent(self) -> bool:
    """Whether the replica is silent now."""
    return asyncio.get_running_loop().time() < self._until

  def plan(self, point: SilencePoint, duration_s: float) -> None:
    """Lets the next request that reaches the point begin a silence."""
    self._planned = point
    self._duration_s = duration_s

  def begin(self, duration_s: float) -> None:
    """Begins a silence."""
    self.count += 1
    self._until = asyncio.get_running_loop().time() + duration_s

  async def wait_at(self, point: SilencePoint | None) -> None:
    """Waits until the replica may send; begins a silence planned here."""
    if point is not None and self._planned is point:
      self._planned = None
      self.begin(self._duration_s)
    while (left_s := self._until - asyncio.get_running_loop().time()) > 0:
      await asyncio.sleep(left_s)
