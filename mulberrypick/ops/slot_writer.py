"""Group commit of claims: one conditional update for all that wait for a slot.

Changes are queued by slot. A writer thread takes a slot with everything that
waits for it, reads the slot's object, applies the changes and writes it at the
version that it read. While that is under way further changes of the slot
gather, so that the groups grow with the load and no timer is needed.

Weighed: keeping the slots' objects in memory saves the read before the write,
but with several entry hosts a kept version is stale almost always, and a
failed write costs more of the platform's rate than a read. The entry host
would also have to hold all recorded answers.

The platform's rate of writes is shared by all entry hosts. Each host keeps to
a rate of its own, with a small burst; when that is used up, the groups grow
instead of the number of writes.

After a conflict or a lost answer the slot is read again and the same changes
are applied again; they are idempotent by nonce. When the platform is away, a
pause that grows with each failure begins. In it, changes whose caller waits
are failed at once, and all others stay queued. After it one thread tries the
platform and the others wait for what it finds: thus an outage costs few calls,
and its end brings no stampede.
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
# Pause after a conflict, grown with the tries and drawn at random below it.
CONFLICT_BACKOFF_S = 0.004
MAX_CONFLICT_BACKOFF_S = 0.1
# Pause after the platform was away.
UNAVAILABLE_BACKOFF_S = 0.25
MAX_UNAVAILABLE_BACKOFF_S = 2.0
UNAVAILABLE_POLL_INTERVAL_S = 0.02
# Updates of one host, conflicts included: nine hosts stay below the platform's
# 400 writes a second.
MAX_WRITES_PER_S = 40.0
MAX_BURST_WRITES = 20.0
# Changes in one update; a bound on the time that one holds its slot.
MAX_GROUP_CHANGES = 2000

log = logging.getLogger(__name__)


class WriteFailure(NamedTuple):
  """A change that was given up.

  Attributes:
    may_be_applied: Whether a write that carried it may still have taken effect.
    retry_after_s: Seconds after which another try is worth it.
  """

  may_be_applied: bool
  retry_after_s: float


class QueuedChange(NamedTuple):
  """A queued change.

  Attributes:
    change: The change.
    reply: Takes the `Outcome` or `WriteFailure`; called on a writer thread.
    is_retried: Whether it is kept until it is done, whatever happens.
    is_forwarded: Whether another host sent it, so that it is written here.
    may_be_applied: Whether another host may have applied it already.
  """

  change: claims.Change
  reply: Callable[[claims.Outcome | WriteFailure], None]
  is_retried: bool
  is_forwarded: bool = False
  may_be_applied: bool = False


class SlotWriter:
  """The threads that write slots; `submit` may be called from any thread.

  Attributes:
    groups: Conditional updates that succeeded.
    changes: Changes that they carried, or that needed no write.
    conflicts: Conditional updates that met another version.
    forwarder: Knows the preferred writers of slots; None to write them all.
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
    """Writes what is queued, then ends the threads.

    Args:
      timeout_s: Longest wait for the queued changes.

    Returns:
      Whether all of them were written.
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
    """Returns the seconds until the platform is tried again, 0 if it is up."""
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
    """Has a group written by the slot's preferred writer.

    Returns:
      Whether it was; if not, all of it waits as before.
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
    """Waits for the platform, failing what can't wait.

    Returns:
      Whether this thread is the one that tries whether the platform is back;
      it has to release `_probe` afterwards.
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
    """Waits until this host may write again; changes gather meanwhile."""
    while (wait_s := self._refill()) > 0 and not self._stopped.is_set():
      self._stopped.wait(wait_s)

  def _refill(self) -> float:
    """Returns the seconds until the next write; takes it if there are none."""
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
        # A value that can't be read, or an answer that nobody foresaw, must
        # not end the thread: the slot would stay busy for ever.
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
    """Fails the changes that can't wait, and queues the others again."""
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
