"""Delayed, lossy cache events and delayed load reports."""

import bisect
import collections
import random
import threading
import time
from typing import NamedTuple

from mulberrypick.core import records
from standins import engine_memory

RETAINED_EVENTS = 100_000
MAX_EVENTS_PER_ANSWER = 5_000
SAMPLE_INTERVAL_S = 0.02


class Event(NamedTuple):
  """One cache event.

  Attributes:
    number: Sequence number. Lost events use up a number too.
    is_stored: False for an eviction.
    block: Chained hash of the prompt up to the end of the block.
    visible_at: Monotonic time from which it can be read.
  """

  number: int
  is_stored: bool
  block: int
  visible_at: float


class CacheEvents:
  """Events of the prefix cache; a random fraction is lost."""

  def __init__(self, lag_s: float, lost_fraction: float, seed: int):
    self._lag_s = lag_s
    self._lost_fraction = lost_fraction
    self._random = random.Random(seed)
    self._lock = threading.Lock()
    self._events: list[Event] = []
    self._last_number = 0

  def add(self, changes: list[engine_memory.Change]) -> None:
    """Adds changes of the prefix cache."""
    if not changes:
      return
    visible_at = time.monotonic() + self._lag_s
    with self._lock:
      for change in changes:
        self._last_number += 1
        if self._random.random() < self._lost_fraction:
          continue
        self._events.append(Event(self._last_number, *change, visible_at))
      if len(self._events) > 2 * RETAINED_EVENTS:
        del self._events[:RETAINED_EVENTS]

  def read(self, after: int) -> list[Event]:
    """Returns the events after a number, without those not visible yet."""
    now = time.monotonic()
    with self._lock:
      start = bisect.bisect_right(self._events, after, key=lambda e: e.number)
      events = self._events[start : start + MAX_EVENTS_PER_ANSWER]
    return [event for event in events if event.visible_at <= now]


class LaggingReports:
  """Load reports that are read with a fixed delay."""

  def __init__(self, lag_s: float):
    self._lag_s = lag_s
    self._lock = threading.Lock()
    self._samples: collections.deque[tuple[float, records.EngineReport]] = (
        collections.deque()
    )

  def add(self, report: records.EngineReport) -> None:
    """Adds the current report."""
    with self._lock:
      self._samples.append((time.monotonic(), report))
      self._drop_old_samples()

  def read(self) -> records.EngineReport:
    """Returns the latest report that is at least `lag_s` old.

    Soon after the start, when there is none, returns the oldest report.
    """
    with self._lock:
      self._drop_old_samples()
      sampled_at, report = self._samples[0]
    return report._replace(age_s=time.monotonic() - sampled_at)

  def _drop_old_samples(self) -> None:
    cutoff = time.monotonic() - self._lag_s
    while len(self._samples) > 1 and self._samples[1][0] <= cutoff:
      self._samples.popleft()
