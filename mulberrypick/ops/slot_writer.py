"""Group commit of claims: one conditional update for all changes of a slot.

A slot is one object of the platform, which holds the claims of all keys that
are hashed to it; see `core/claims.py`. Changes are queued by slot. A writer
thread takes all queued changes of a slot, reads the slot's object, applies the
changes, and writes the object conditionally on the version that it read.
Further changes of the slot queue up meanwhile, so groups grow with the load and
no timer is needed.

The slots' objects are not cached in memory. A cache would save the read before
the write, but with several entry hosts a cached version is almost always stale,
and a failed write takes more of the platform's rate than a read. The entry host
would also have to hold all recorded answers.

All entry hosts share the platform's write rate. Each host limits its own rate,
with a small burst; at the limit the groups grow instead of the number of
writes.

After a conflict or a lost response the slot is read again and the same changes
are applied again; they are idempotent by nonce. When the platform is
unavailable, writes stop for a backoff that grows with each failure. During the
backoff, changes whose caller is waiting fail at once, and all others stay
queued. After it one thread probes the platform while the others wait for the
result. An outage therefore causes few calls, and the platform is not overloaded
when it recovers.
"""

import collections
import functools
import logging
import queue
import random
import threading
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import logs
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.core import claims
from mulberrypick.core import errors
from mulberrypick.ops import slot_forwarder

MAX_TRIES = 30
# Backoff after a conflict: multiplied by the number of tries, with full jitter.
CONFLICT_BACKOFF_S = 0.004
MAX_CONFLICT_BACKOFF_S = 0.1
# Backoff while the platform is unavailable.
UNAVAILABLE_BACKOFF_S = 0.25
MAX_UNAVAILABLE_BACKOFF_S = 2.0
UNAVAILABLE_POLL_INTERVAL_S = 0.02
# Maximum rate of conditional updates of one host, including those that fail
# with a conflict. At this rate nine hosts stay below the platform's limit of
# 400 writes per second.
MAX_WRITES_PER_S = 40.0
MAX_BURST_WRITES = 20.0
# Changes in one update; limits how long one update keeps its slot busy.
MAX_GROUP_CHANGES = 2000

log = logging.getLogger(__name__)


class WriteFailure(NamedTuple):
  """A change that could not be written.

  Attributes:
    may_be_applied: Whether a write of the change may have taken effect.
    retry_after_s: Seconds after which to retry.
  """

  may_be_applied: bool
  retry_after_s: float


class QueuedChange(NamedTuple):
  """A queued change.

  Attributes:
    change: The change.
    reply: Called on a writer thread with the `Outcome` or `WriteFailure`.
    is_retried: Whether the change is retried until it is written.
    is_forwarded: Whether another host forwarded the change; it is then written
      by this host and not forwarded again.
    may_be_applied: Whether another host may have applied the change already.
  """

  change: claims.Change
  reply: Callable[[claims.Outcome | WriteFailure], None]
  is_retried: bool
  is_forwarded: bool = False
  may_be_applied: bool = False


class SlotWriter:
  """The threads that write slots; `submit` is thread-safe.

  Attributes:
    groups: Number of conditional updates that succeeded.
    changes: Number of changes that were written or needed no write.
    conflicts: Number of conditional updates that failed with a conflict.
    epoch: The latest known epoch, a number kept in the platform by which the
      retention of records counts.
    forwarder: Forwards changes to the preferred writers of slots; None to
      write all slots on this host.
  """

  def __init__(
      self,
      platform: platform_lib.Platform,
      clock: Callable[[], float],
      rng: random.Random,
      writers: int,
      writes_per_s: float = MAX_WRITES_PER_S,
  ):
    self.forwarder: slot_forwarder.SlotForwarder | None = None
    self.groups = 0
    self.changes = 0
    self.conflicts = 0
    self.epoch = 0
    self._platform = platform
    self._clock = clock
    self._rng = rng
    self._lock = threading.Lock()
    self._idle = threading.Condition(self._lock)
    self._queue_by_slot: dict[int, list[QueuedChange]] = (
        collections.defaultdict(list)
    )
    self._busy_slots: set[int] = set()
    self._ready_slots: queue.SimpleQueue[int | None] = queue.SimpleQueue()
    self._stopped = threading.Event()
    self._writes_per_s = writes_per_s
    self._writes_left = MAX_BURST_WRITES
    self._refilled_at = clock()
    self._is_unavailable = False
    self._unavailable_until = 0.0
    self._probe = threading.Lock()
    self._unavailable_backoff_s = UNAVAILABLE_BACKOFF_S
    self._threads = [
        threading.Thread(target=self._run, name=f'claims-{n}', daemon=True)
        for n in range(writers)
    ]

  def start(self) -> None:
    """Starts the threads."""
    for thread in self._threads:
      thread.start()

  def stop(self, timeout_s: float) -> bool:
    """Writes the queued changes, then stops the threads.

    Args:
      timeout_s: Longest wait for the queued changes.

    Returns:
      Whether all queued changes were written.
    """
    with self._idle:
      is_done = self._idle.wait_for(lambda: not self._busy_slots, timeout_s)
    self._stopped.set()
    for _ in self._threads:
      self._ready_slots.put(None)
    for thread in self._threads:
      thread.join()
    return is_done

  def get_backoff_s(self) -> float:
    """Returns the seconds until the next probe, 0 if none is pending."""
    return max(0.0, self._unavailable_until - self._clock())

  def submit(self, queued: QueuedChange) -> None:
    """Queues a change."""
    slot = claims.find_slot(queued.change.key)
    with self._lock:
      self._queue_by_slot[slot].append(queued)
      if slot in self._busy_slots:
        return
      self._busy_slots.add(slot)
    self._ready_slots.put(slot)

  def _run(self) -> None:
    while (slot := self._ready_slots.get()) is not None:
      if not self._forward_group(slot):
        is_probe = self._wait_while_unavailable(slot)
        self._wait_for_rate()
        group = self._take_group(slot, MAX_GROUP_CHANGES)
        if group:
          self._write_group(slot, group)
        if is_probe:
          self._probe.release()
      self._finish(slot)

  def _take_group(self, slot: int, count: int) -> list[QueuedChange]:
    with self._lock:
      group = self._queue_by_slot[slot][:count]
      del self._queue_by_slot[slot][:count]
    return group

  def _forward_group(self, slot: int) -> bool:
    """Forwards a group of changes to the slot's preferred writer.

    Returns:
      Whether the writer applied them; if not, all of them stay queued.
    """
    writer = self.forwarder.find_writer(slot) if self.forwarder else ''
    if not writer:
      return False
    group = self._take_group(slot, slot_forwarder.MAX_FORWARDED_CHANGES)
    own = [queued for queued in group if not queued.is_forwarded]
    outcomes = None
    if len(own) == len(group):
      changes = [queued.change for queued in own]
      outcomes = self.forwarder.forward(writer, changes)
    if outcomes is None:
      uncertain = [queued._replace(may_be_applied=True) for queued in group]
      with self._lock:
        self._queue_by_slot[slot][:0] = uncertain
      return False
    self.changes += len(group)
    for queued, outcome in zip(group, outcomes, strict=True):
      queued.reply(outcome)
    return True

  def apply_forwarded(
      self,
      changes: list[claims.Change],
      on_outcomes: Callable[[list[claims.Outcome] | None], None],
  ) -> None:
    """Queues changes that another host forwarded.

    Args:
      changes: Changes of one slot.
      on_outcomes: Called with the outcomes of all changes, or with None if any
        of them failed.
    """
    if self._stopped.is_set():
      on_outcomes(None)
      return
    result_by_index: dict[int, claims.Outcome | WriteFailure] = {}

    def collect(index: int, result: claims.Outcome | WriteFailure) -> None:
      result_by_index[index] = result
      if len(result_by_index) < len(changes):
        return
      results = [result_by_index[i] for i in range(len(changes))]
      is_failed = any(isinstance(r, WriteFailure) for r in results)
      on_outcomes(None if is_failed else results)

    for index, change in enumerate(changes):
      reply = functools.partial(collect, index)
      self.submit(QueuedChange(change, reply, False, True))

  def _finish(self, slot: int) -> None:
    with self._idle:
      has_more = bool(self._queue_by_slot[slot])
      if not has_more:
        self._busy_slots.discard(slot)
        self._idle.notify_all()
    if has_more and not self._stopped.is_set():
      self._ready_slots.put(slot)

  def _wait_while_unavailable(self, slot: int) -> bool:
    """Waits while the platform is unavailable.

    Meanwhile, queued changes whose `is_retried` is not set fail.

    Returns:
      Whether this thread has to probe the platform; it then holds `_probe` and
      must release it afterwards.
    """
    while self._is_unavailable and not self._stopped.is_set():
      pause_s = self.get_backoff_s()
      if pause_s <= 0 and self._probe.acquire(blocking=False):
        return True
      if pause_s > 0:
        self._fail_unretried(slot, pause_s)
      self._stopped.wait(UNAVAILABLE_POLL_INTERVAL_S)
    return False

  def _wait_for_rate(self) -> None:
    """Waits until the rate limit allows a write; changes queue up meanwhile."""
    while (wait_s := self._refill()) > 0 and not self._stopped.is_set():
      self._stopped.wait(wait_s)

  def _refill(self) -> float:
    """Refills the token bucket of writes and takes one token if there is one.

    Returns:
      0 if a token was taken, otherwise the seconds until there is one.
    """
    with self._lock:
      now = self._clock()
      added = (now - self._refilled_at) * self._writes_per_s
      self._writes_left = min(MAX_BURST_WRITES, self._writes_left + added)
      self._refilled_at = now
      if self._writes_left < 1:
        return (1 - self._writes_left) / self._writes_per_s
      self._writes_left -= 1
      return 0.0

  def _fail_unretried(self, slot: int, pause_s: float) -> None:
    with self._lock:
      slot_queue = self._queue_by_slot[slot]
      unretried = [queued for queued in slot_queue if not queued.is_retried]
      slot_queue[:] = [queued for queued in slot_queue if queued.is_retried]
    for item in unretried:
      item.reply(WriteFailure(item.may_be_applied, pause_s))

  def _write_group(self, slot: int, group: list[QueuedChange]) -> None:
    key = claims.make_slot_key(slot)
    changes = [queued.change for queued in group]
    may_be_applied = False
    for tries in range(MAX_TRIES):
      try:
        outcomes = self._write_once(key, changes)
      except errors.ConflictError:
        self.conflicts += 1
        self._back_off(tries)
        continue
      except errors.PlatformAnswerLostError:
        may_be_applied = True
        continue
      except errors.PlatformUnavailableError as error:
        self._handle_unavailable(error)
        break
      except Exception as error:
        # A malformed value or an unexpected response must not end the thread;
        # the slot would stay busy forever.
        may_be_applied = True
        self._handle_unavailable(errors.PlatformUnavailableError(repr(error)))
        break
      self._is_unavailable = False
      self._unavailable_backoff_s = UNAVAILABLE_BACKOFF_S
      self.changes += len(group)
      for queued, outcome in zip(group, outcomes, strict=True):
        queued.reply(outcome)
      return
    self._handle_failed_group(slot, group, may_be_applied)

  def _write_once(
      self, key: str, changes: list[claims.Change]
  ) -> list[claims.Outcome]:
    held = self._platform.get(key)
    slot, version = claims.EMPTY_SLOT, platform_lib.MISSING_VERSION
    if held is not None:
      slot, version = claims.decode_slot(held.value), held.version
    changed, outcomes = claims.apply_changes(slot, changes, self.epoch)
    if changed is not slot:
      self._platform.put(key, claims.encode_slot(changed), version)
      self.groups += 1
    return outcomes

  def _handle_failed_group(
      self, slot: int, group: list[QueuedChange], may_be_applied: bool
  ) -> None:
    """Fails the changes that are not retried, and queues the others again."""
    retried = [queued for queued in group if queued.is_retried]
    with self._lock:
      self._queue_by_slot[slot][:0] = retried
    for queued in group:
      if not queued.is_retried:
        is_uncertain = may_be_applied or queued.may_be_applied
        queued.reply(WriteFailure(is_uncertain, self.get_backoff_s()))

  def _back_off(self, tries: int) -> None:
    max_backoff_s = min(
        MAX_CONFLICT_BACKOFF_S, CONFLICT_BACKOFF_S * (tries + 1)
    )
    self._stopped.wait(self._rng.uniform(0.0, max_backoff_s))

  def _handle_unavailable(self, error: errors.PlatformUnavailableError) -> None:
    pause_s = self._rng.uniform(0.5, 1.0) * self._unavailable_backoff_s
    pause_s = max(pause_s, error.retry_after_s)
    self._unavailable_until = self._clock() + pause_s
    self._is_unavailable = True
    self._unavailable_backoff_s = min(
        MAX_UNAVAILABLE_BACKOFF_S, 2 * self._unavailable_backoff_s
    )
    logs.log_event(
        log,
        logging.WARNING,
        'claims_away',
        pause_s=round(pause_s, 3),
        error=str(error),
    )
