"""Owns the claims of this process: who may send what, and what was answered.

Every claim that this process wrote and that isn't settled in the platform yet
is held here by its nonce, in a state of `charts/claim.toml`. The two steps
that must exclude each other, beginning to send and giving a claim away, are
transitions of that chart under one lock. A lock and not a queue, as a question
of another entry host is answered on the task of the peer socket, which must
not block and answers on the spot; no I/O is done under it.

A claim whose caller was told "not run" goes to `released` first, from where no
transition leads to `sending`; only then is the caller told. That the platform
may still hold the record does no harm: who meets it asks here by nonce.
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
# A writer for each slot: one that waits for another host must not keep the
# changes waiting that this host was sent.
WRITER_COUNT = claims.SLOT_COUNT
# Claims whose outcome isn't recorded yet; above it new ones are refused.
MAX_UNSETTLED = 10_000
# A claim that wasn't used this long after it was asked for is never sent.
SEND_TIMEOUT_S = 60.0
# Longest wait of a caller for the record of its answer.
RECORD_TIMEOUT_S = 1.0
STOP_TIMEOUT_S = 10.0
EPOCH_READ_INTERVAL_S = 60.0
EPOCH_RETRY_INTERVAL_S = 5.0
SLOT_FULL_RETRY_AFTER_S = 60.0

log = logging.getLogger(__name__)


class ClaimGranted(NamedTuple):
  """The claim stands under this nonce: its holder may send, once."""

  nonce: str


class ExistingClaim(NamedTuple):
  """Another claim stands for the key."""

  record: claims.ClaimRecord


class OwnClaim(NamedTuple):
  """A claim that this process wrote.

  Attributes:
    key: The scoped key.
    record: The record that was asked for.
    state: State in `charts/claim.toml`.
    asked_at: Monotonic time at which it was asked for.
    answer: The whole answer once it is here.
  """

  key: str
  record: claims.ClaimRecord
  state: str
  requested_at: float
  answer: records.PlainAnswer | None


class ClaimTask:
  """The claims of this process; methods may be called from any thread."""

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
    """Gives unsent claims away, and records what is still to be recorded.

    Args:
      timeout_s: Longest wait for the platform.

    Returns:
      Whether everything was recorded.
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
    """Claims a key, and waits for the platform.

    Args:
      key: The scoped key.
      fingerprint: Digest of the call.
      timeout_s: Longest wait.
      old_nonce: A claim on the key that its writer has given up, or empty.

    Raises:
      UnavailableError: The platform is away, or the slot is full: not run.
      DeadlineError: The platform did not answer in time: not run.
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
      raise errors.DeadlineError('the platform is slow') from None
    return self._handle_claim_result(record.nonce, result)

  def begin_send(self, nonce: str) -> bool:
    """Tells whether the one call may go out now; True takes the permission."""
    with self._lock:
      own = self._claim_by_nonce.get(nonce)
      if own is None or not claims.is_allowed(own.state, claims.EVENT_SEND):
        return False
      if self._clock() - own.requested_at > SEND_TIMEOUT_S:
        return False
      self._apply_event(nonce, claims.EVENT_SEND)
    return True

  def mark_not_sent(self, nonce: str) -> None:
    """Takes note that the call reached nobody: it may go out again."""
    with self._lock:
      self._apply_event(nonce, claims.EVENT_NOT_SENT)

  def record_answer(self, nonce: str, answer: records.PlainAnswer) -> bool:
    """Records the whole answer; goes on in the background after a while.

    Returns:
      Whether the platform has it by now.
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
    """Records that the outcome is unknown, like `record_answer`."""
    with self._lock:
      own = self._apply_event(nonce, claims.EVENT_ANSWER_MISSING)
    return self._record(own, own.record._replace(state=claims.RECORD_UNKNOWN))

  def release(self, nonce: str) -> bool:
    """Gives a claim up for good, if nothing was sent under it.

    The record is taken out of the platform in the background.

    Returns:
      Whether it is certain now that nothing was and nothing will be sent.
    """
    with self._lock:
      own = self._claim_by_nonce.get(nonce)
      if own is None or not claims.is_allowed(own.state, claims.EVENT_RELEASE):
        return False
      own = self._apply_event(nonce, claims.EVENT_RELEASE)
    self._remove(own)
    return True

  def reply(self, query: claims.ClaimQuery) -> claims.ClaimReply:
    """Says what is known here of an open claim."""
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
          'the platform is away; the call was not run', retry_after_s=pause_s
      )
    if len(self._claim_by_nonce) >= MAX_UNSETTLED:
      raise errors.UnavailableError(
          'too many answers wait for the platform; the call was not run',
          retry_after_s=slot_writer.MAX_UNAVAILABLE_BACKOFF_S,
      )

  def _handle_claim_result(
      self, nonce: str, result: claims.Outcome | slot_writer.WriteFailure
  ) -> ClaimGranted | ExistingClaim:
    if isinstance(result, slot_writer.WriteFailure):
      self._handle_claim_failure(nonce, result)
      raise errors.UnavailableError(
          'the platform is away; the call was not run',
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
          'no room for another claim; the call was not run',
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
    """Reads the epoch; increments it after `EPOCH_INTERVAL_S` unchanged."""
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
