"""Tracks the claims of this process: their state and the recorded answers.

Every claim that this process wrote and whose outcome is not recorded in the
platform yet is kept in memory by its nonce, in a state of the state machine
`charts/claim.toml`. Two transitions must exclude each other, starting to send
a call and releasing its claim, so both are made under one lock. A lock is used
rather than a queue because queries from other entry hosts are answered
synchronously on the thread of the peer socket, which must not block. No I/O is
done while the lock is held.

Before a caller is told "not run", its claim moves to the state `released`,
from which no transition leads to `sending`. The platform may still hold the
record of a released claim. This is safe because any host that reads the record
queries this process by nonce.
"""

import logging
import queue
import random
import threading
import time
import uuid
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import logs
from mulberrypick.adapters import peers as peers_lib
from mulberrypick.adapters import platform as platform_lib
from mulberrypick.core import claims
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import slot_forwarder
from mulberrypick.ops import slot_writer

KIND_CLAIM_QUERY = 'claim'
# As many threads as slots, the objects that hold the claims. A thread that
# waits for another host then does not delay changes that other hosts forwarded
# to this one.
WRITER_COUNT = claims.SLOT_COUNT
# Number of claims without a recorded outcome above which new ones are refused.
MAX_UNSETTLED = 10_000
# A call is no longer sent once its claim is older than this.
SEND_TIMEOUT_S = 60.0
# How long a caller waits for its answer to be recorded.
RECORD_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 10.0
EPOCH_READ_INTERVAL_S = 60.0
EPOCH_RETRY_INTERVAL_S = 5.0
SLOT_FULL_RETRY_AFTER_S = 60.0

log = logging.getLogger(__name__)


class ClaimGranted(NamedTuple):
  """The claim was granted; this process may send the call once.

  Attributes:
    nonce: Identifies the claim.
  """

  nonce: str


class ExistingClaim(NamedTuple):
  """Another claim already holds the key.

  Attributes:
    record: The record of that claim.
  """

  record: claims.ClaimRecord


class OwnClaim(NamedTuple):
  """A claim that this process wrote.

  Attributes:
    key: The idempotency key, scoped to tenant and service.
    record: The record that this process writes to the platform.
    state: State in `charts/claim.toml`.
    requested_at: Monotonic time at which the claim was requested.
    answer: The complete answer, or None if it has not arrived.
  """

  key: str
  record: claims.ClaimRecord
  state: str
  requested_at: float
  answer: records.PlainAnswer | None


class ClaimTask:
  """Manages the claims of this process; its methods are thread-safe."""

  def __init__(
      self,
      platform: platform_lib.Platform,
      peers: peers_lib.Peers,
      own_name: str,
      own_peer_address: str,
      clock: Callable[[], float] = time.monotonic,
      rng: random.Random | None = None,
      writers: int = WRITER_COUNT,
      writes_per_s: float = slot_writer.MAX_WRITES_PER_S,
      list_peers: Callable[[], Sequence[str]] | None = None,
  ):
    self._platform = platform
    self._own_name = own_name
    self._own_peer_address = own_peer_address
    self._clock = clock
    self._lock = threading.Lock()
    self._claim_by_nonce: dict[str, OwnClaim] = {}
    self._is_stopping = threading.Event()
    self.writer = slot_writer.SlotWriter(
        platform, clock, rng or random.Random(), writers, writes_per_s
    )
    if list_peers is not None:
      self.writer.forwarder = slot_forwarder.SlotForwarder(
          peers, own_peer_address, list_peers, self.writer.apply_forwarded
      )
    self._epoch_thread = threading.Thread(
        target=self._run_epoch_updates, name='claim-epoch', daemon=True
    )
    peers.register_handler(KIND_CLAIM_QUERY, self._handle_query)

  def start(self) -> None:
    """Starts the threads."""
    self.writer.start()
    self._epoch_thread.start()

  def stop(self, timeout_s: float = STOP_TIMEOUT_S) -> bool:
    """Releases unsent claims and writes the pending records.

    Args:
      timeout_s: Longest wait for the platform.

    Returns:
      Whether all records were written.
    """
    self._is_stopping.set()
    for nonce in list(self._claim_by_nonce):
      self.release(nonce)
    is_done = self.writer.stop(timeout_s)
    self._epoch_thread.join()
    return is_done

  def claim(
      self, key: str, fingerprint: str, timeout_s: float, old_nonce: str = ''
  ) -> ClaimGranted | ExistingClaim:
    """Claims a key and waits for the platform's result.

    Args:
      key: The idempotency key, scoped to tenant and service.
      fingerprint: Digest of the call.
      timeout_s: Longest wait.
      old_nonce: Nonce of a released claim to take over, or empty.

    Raises:
      UnavailableError: The platform is unavailable, or the object that would
        hold the claim is full; the call was not run.
      DeadlineError: The platform did not answer in time; the call was not run.
    """
    self._check_accepting()
    record = claims.ClaimRecord(
        claims.RECORD_OPEN,
        uuid.uuid4().hex,
        fingerprint,
        self._own_name,
        self._own_peer_address,
        0,
        None,
    )
    own = OwnClaim(key, record, claims.CLAIMING, self._clock(), None)
    with self._lock:
      self._claim_by_nonce[record.nonce] = own
    action = claims.TAKE_OVER if old_nonce else claims.CREATE
    change = claims.Change(action, key, record, old_nonce)
    replies: queue.SimpleQueue = queue.SimpleQueue()
    self.writer.submit(slot_writer.QueuedChange(change, replies.put, False))
    try:
      result = replies.get(timeout=max(0.0, timeout_s))
    except queue.Empty:
      self.release(record.nonce)
      raise errors.DeadlineError(
          'the platform did not answer the claim in time'
      ) from None
    return self._handle_claim_result(record.nonce, result)

  def begin_send(self, nonce: str) -> bool:
    """Starts sending the call, if its claim allows that.

    Returns:
      Whether the call may be sent now. After True, further calls return False
      unless `mark_not_sent` is called.
    """
    with self._lock:
      own = self._claim_by_nonce.get(nonce)
      if own is None or not claims.is_allowed(own.state, claims.EVENT_SEND):
        return False
      if self._clock() - own.requested_at > SEND_TIMEOUT_S:
        return False
      self._apply_event(nonce, claims.EVENT_SEND)
    return True

  def mark_not_sent(self, nonce: str) -> None:
    """Marks that no endpoint received the call, so it may be sent again."""
    with self._lock:
      self._apply_event(nonce, claims.EVENT_NOT_SENT)

  def record_answer(self, nonce: str, answer: records.PlainAnswer) -> bool:
    """Records the complete answer in the platform.

    After `RECORD_TIMEOUT_S` the write goes on in the background.

    Returns:
      Whether the platform holds the answer.
    """
    with self._lock:
      own = self._apply_event(nonce, claims.EVENT_ANSWER_WHOLE)
      self._claim_by_nonce[nonce] = own._replace(answer=answer)
    return self._record(
        own,
        own.record._replace(
            state=claims.RECORD_ANSWERED,
            answer=claims.recordable_answer(answer),
        ),
    )

  def record_unknown(self, nonce: str) -> bool:
    """Records that the outcome is unknown; waits as `record_answer` does."""
    with self._lock:
      own = self._apply_event(nonce, claims.EVENT_ANSWER_MISSING)
    return self._record(own, own.record._replace(state=claims.RECORD_UNKNOWN))

  def release(self, nonce: str) -> bool:
    """Releases a claim for good, if no call was sent under it.

    The record is removed from the platform in the background.

    Returns:
      Whether it is certain that no call was sent or will be sent under it.
    """
    with self._lock:
      own = self._claim_by_nonce.get(nonce)
      if own is None or not claims.is_allowed(own.state, claims.EVENT_RELEASE):
        return False
      own = self._apply_event(nonce, claims.EVENT_RELEASE)
    self._remove(own)
    return True

  def reply(self, query: claims.ClaimQuery) -> claims.ClaimReply:
    """Answers a query about an open claim of this process."""
    with self._lock:
      own = self._claim_by_nonce.get(query.nonce)
    if own is None:
      return claims.ClaimReply(claims.REPLY_FORGOTTEN, None)
    return claims.ClaimReply(claims.reply_for_state(own.state), own.answer)

  def _handle_query(self, sender: str, body: bytes) -> bytes | None:
    query = msgspec.msgpack.decode(body, type=claims.ClaimQuery)
    return msgspec.msgpack.encode(self.reply(query))

  def _check_accepting(self) -> None:
    if self._is_stopping.is_set():
      raise errors.UnavailableError(
          'this entry host is stopping', retry_after_s=1
      )
    pause_s = self.writer.get_backoff_s()
    if pause_s > 0:
      raise errors.UnavailableError(
          'the platform is unavailable; the call was not run',
          retry_after_s=pause_s,
      )
    if len(self._claim_by_nonce) >= MAX_UNSETTLED:
      raise errors.UnavailableError(
          'too many answers are waiting to be recorded in the platform; the'
          ' call was not run',
          retry_after_s=slot_writer.MAX_UNAVAILABLE_BACKOFF_S,
      )

  def _handle_claim_result(
      self, nonce: str, result: claims.Outcome | slot_writer.WriteFailure
  ) -> ClaimGranted | ExistingClaim:
    if isinstance(result, slot_writer.WriteFailure):
      self._handle_claim_failure(nonce, result)
      raise errors.UnavailableError(
          'the platform is unavailable; the call was not run',
          retry_after_s=result.retry_after_s,
      )
    if result.is_applied:
      with self._lock:
        own = self._claim_by_nonce.get(nonce)
        is_released = own is None or own.state == claims.RELEASED
        if not is_released:
          self._apply_event(nonce, claims.EVENT_GRANT)
      if is_released:
        raise errors.UnavailableError(
            'this entry host is stopping', retry_after_s=1
        )
      return ClaimGranted(nonce)
    self._forget(nonce)
    if result.current is None:
      raise errors.UnavailableError(
          'the slot of the idempotency key is full; the call was not run',
          retry_after_s=SLOT_FULL_RETRY_AFTER_S,
      )
    return ExistingClaim(result.current)

  def _handle_claim_failure(
      self, nonce: str, failure: slot_writer.WriteFailure
  ) -> None:
    if failure.may_be_applied:
      self.release(nonce)
      return
    self._forget(nonce)

  def _record(self, own: OwnClaim, record: claims.ClaimRecord) -> bool:
    replies: queue.SimpleQueue = queue.SimpleQueue()

    def on_result(outcome: claims.Outcome | slot_writer.WriteFailure) -> None:
      self._forget(record.nonce)
      replies.put(outcome)

    change = claims.Change(claims.RECORD, own.key, record)
    self.writer.submit(slot_writer.QueuedChange(change, on_result, True))
    try:
      return replies.get(timeout=RECORD_TIMEOUT_S).is_applied
    except queue.Empty:
      logs.log_event(
          log, logging.WARNING, 'claim_record_late', nonce=record.nonce
      )
      return False

  def _remove(self, own: OwnClaim) -> None:
    change = claims.Change(claims.REMOVE, own.key, own.record)
    nonce = own.record.nonce
    self.writer.submit(
        slot_writer.QueuedChange(change, lambda _: self._forget(nonce), True)
    )

  def _apply_event(self, nonce: str, event: str) -> OwnClaim:
    own = self._claim_by_nonce[nonce]
    own = own._replace(state=claims.advance(own.state, event))
    self._claim_by_nonce[nonce] = own
    return own

  def _forget(self, nonce: str) -> None:
    with self._lock:
      self._claim_by_nonce.pop(nonce, None)

  def _run_epoch_updates(self) -> None:
    """Reads the epoch, by which the retention of records counts, repeatedly.

    Increments it if it has been unchanged for `EPOCH_INTERVAL_S`.
    """
    epoch, seen_at = -1, self._clock()
    while not self._is_stopping.is_set():
      pause_s = EPOCH_READ_INTERVAL_S
      try:
        held = self._platform.get(claims.EPOCH_KEY)
        number = 0 if held is None else int(held.value)
        if number != epoch:
          epoch, seen_at = number, self._clock()
        self.writer.epoch = max(epoch, self.writer.epoch)
        if held is None or self._clock() - seen_at > claims.EPOCH_INTERVAL_S:
          version = 0 if held is None else held.version
          self._platform.put(claims.EPOCH_KEY, b'%d' % (number + 1), version)
          pause_s = EPOCH_RETRY_INTERVAL_S
      except errors.PlatformError:
        pause_s = EPOCH_RETRY_INTERVAL_S
      self._is_stopping.wait(pause_s)
