"""Sends a request to one endpoint and reads the response."""

import asyncio
import enum
import logging
from collections.abc import Awaitable
from collections.abc import Callable
from typing import NamedTuple
from typing import TypeVar

from mulberrypick.adapters import logs
from mulberrypick.adapters import response_limits
from mulberrypick.adapters import stream_client
from mulberrypick.core import crashing_parts
from mulberrypick.core import endpoint_limits
from mulberrypick.core import engine_models
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.core import open_ended_answers
from mulberrypick.core import pending_reads
from mulberrypick.ops import call_log
from mulberrypick.ops import gateway_state
from mulberrypick.ops import stop_guard
from mulberrypick.platform import protocol
from mulberrypick.platform import requests

_T = TypeVar('_T')
_log = logging.getLogger(__name__)
# Maximum size of a non-streaming response, which is read completely before it
# is forwarded.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Maximum size of the body of a refusal, which is not forwarded.
MAX_REFUSAL_BYTES = 65536
# Time limit for the body of a refusal, which normally arrives with its head.
# The caller must not wait for a body that is only read to keep the connection.
REFUSAL_BODY_TIMEOUT_S = 0.1
# A refusal within this fraction of the time to the deadline means that the
# endpoint is full. A full endpoint refuses at once, but the request body takes
# some time on a slow link.
FULL_REFUSAL_TIME_FRACTION = 0.5
# Time between two attempts to secure another run while the endpoint is silent.
SECURE_INTERVAL_S = 0.2
# Reason of a send for which there is no permit.
LIMITED = 'limited'
# Reason of a break by an event that does not end.
EVENT_TOO_LONG = 'event_too_long'
# Reason of a send to an endpoint that wants no requests.
HELD_OFF = 'held_off'
# Reason of a send to an endpoint that leaves.
LEAVING = 'leaving'
# Reason of a send that this process would end before.
STOPPING = stop_guard.STOPPING
# Reason of a send that was given up because requests like it crash endpoints.
CRASHES_ENDPOINTS = 'crashes_endpoints'
# Reasons of a break after which the endpoint may have crashed. For all others
# this host closed the connection, because of what the endpoint had sent.
ENDPOINT_END_REASONS = ('reset', 'closed', 'event_cut')
# Reasons of a break after which the endpoint is suspended at once.
ENDLESS_REASONS = (
    response_limits.HEAD_TOO_LONG,
    response_limits.FOREIGN_TOO_LONG,
    response_limits.FRAME_TOO_LONG,
    stream_client.TOO_MANY_HEADERS,
    EVENT_TOO_LONG,
)
# Statuses that say that the request did not run. Without the endpoint's own
# header to confirm it, the request may have run.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Outcome(enum.Enum):
  """Outcome of a send."""

  # No connection could be opened, or the endpoint has a limit and there is no
  # permit; nothing was sent.
  NOT_SENT = 'not_sent'
  # The endpoint confirmed that it did not run the request.
  NOT_RUN = 'not_run'
  # A response head was received and accepted as genuine; the body follows.
  ANSWERED = 'answered'
  # The request may have run, and there is no usable response.
  BROKEN = 'broken'


class SendResult(NamedTuple):
  """Result of a send.

  Attributes:
    outcome: Outcome of the send.
    reason: Identifier of the cause, for logs.
    head: The response head if the outcome is `ANSWERED`.
    says_leaving: Whether the endpoint says in that head that it leaves.
  """

  outcome: Outcome
  reason: str
  head: stream_client.Head | None = None
  says_leaving: bool = False


class SilenceLimit(NamedTuple):
  """When a run on a silent endpoint may be given up.

  Attributes:
    after_s: Time without data.
    secure: Secures another run, and returns whether there is one. Its argument
      returns whether the endpoint is still silent.
  """

  after_s: float
  secure: Callable[[Callable[[], bool]], Awaitable[bool]]


class EndpointSend:
  """One request to an endpoint and its response.

  The owner must call `close`. If the response is incomplete by then, the
  connection is aborted, so that the endpoint stops working on the request.
  """

  def __init__(
      self,
      state: gateway_state.GatewayState,
      log: call_log.CallLog,
      endpoint: gateway_records.Endpoint,
      call: gateway_records.Call,
      read: pending_reads.PendingRead | None,
      decode_quarters: int,
      can_end: Callable[[float], bool],
  ):
    """Creates a send, which counts as load of the endpoint from now on.

    Args:
      state: The state of this host.
      log: Logs decisions.
      endpoint: Where the request is sent.
      call: The request.
      read: The prefill that it causes there, None for none.
      decode_quarters: Quarters of slots that it takes for decoding.
      can_end: Returns whether the request ends before this process if it is
        sent at the given time.
    """
    self._can_end = can_end
    self._state = state
    self._log = log
    self._endpoint = endpoint
    self._call = call
    self._tokens = read.tokens if read is not None else 0
    self._decode_quarters = decode_quarters
    self._own_load = state.load.own(endpoint)
    self._own_load.count += 1
    self._own_load.decoding += decode_quarters
    state.load_changed.set()
    if read is not None:
      self._own_load.reads.add(id(self), read)
    self._connection: stream_client.ClientConnection | None = None
    self.exchange = stream_client.Exchange(
        lambda head, is_first: requests.match_response(call.id, head, is_first),
        call.id,
        endpoint.name,
    )
    self.sent_at = 0.0
    self._heard_at = 0.0
    # When the first data of the response arrived.
    self._answered_at = 0.0
    self._other_count = 0
    # Whether it is known if the request may have crashed the endpoint.
    self._is_judged = False

  async def start(
      self,
      encode: Callable[[float], bytes],
      limit: SilenceLimit | None,
      needs_signature: bool,
      permit_until: float = float('-inf'),
      connection: stream_client.ClientConnection | None = None,
  ) -> SendResult:
    """Sends the request and waits for the head of its response.

    Args:
      encode: Encodes the request, given the time on the event loop's clock.
      limit: When the request may be given up before the head has arrived; None
        for never.
      needs_signature: Whether a successful response needs the endpoint's
        signature header.
      permit_until: When the permit expires that is reserved for this send.
      connection: Connection to use; None for one of the pool.
    """
    loop = asyncio.get_running_loop()
    state = self._state
    try:
      self._connection = connection or await state.pool.acquire(
          self._endpoint, not self._call.route.is_idempotent, self._call.id
      )
    except errors.ConnectError:
      state.endpoints.record_failure(self._endpoint, loop.time(), True)
      return SendResult(Outcome.NOT_SENT, 'connect')
    self.sent_at = loop.time()
    reason = self._reason_not_to_send(permit_until)
    if reason:
      state.pool.release(self._endpoint, self._connection)
      self._connection = None
      return SendResult(Outcome.NOT_SENT, reason)
    self._own_load.pending_since[id(self)] = self.sent_at
    count = state.load.total(self._endpoint, self.sent_at).count
    self._other_count = count - 1
    if state.limits.rate(self._endpoint.incarnation) is not None:
      state.limited_sends += 1
    self._connection.send(encode(self.sent_at), self.exchange)
    try:
      head = await self._read(self.exchange.read_head, self._lacks_head, limit)
    except errors.RunGivenUpError:
      return SendResult(Outcome.BROKEN, 'silent')
    except errors.ExchangeBrokenError as error:
      self.record_break(error.reason, False)
      return SendResult(Outcome.BROKEN, error.reason)
    self.record_activity()
    kind = requests.classify_response(head)
    self._observe_limit(head, kind, needs_signature)
    if not kind.is_misdirected:
      state.observe_wishes(self._endpoint, kind.says_leaving, kind.hold_off)
    return await self._evaluate_head(head, kind, needs_signature)

  def _reason_not_to_send(self, permit_until: float) -> str:
    """Returns why the request must not be sent now, empty if it may be.

    It was placed a moment ago; a connection may have taken some time.
    """
    state, endpoint, now = self._state, self._endpoint, self.sent_at
    if not self._can_end(now):
      return STOPPING
    if state.is_refused(self._call, now):
      return CRASHES_ENDPOINTS
    if not state.endpoints.may_send(endpoint, now):
      return LEAVING
    if state.endpoints.is_held_off(endpoint, now):
      return HELD_OFF
    if permit_until <= now and not state.permits.take(
        endpoint.incarnation, self._call.route.rank == 0, now
    ):
      return LIMITED
    return ''

  def _observe_limit(
      self,
      head: stream_client.Head,
      kind: requests.ResponseTraits,
      needs_signature: bool,
  ) -> None:
    """Records the limit in a response, or that there is none."""
    if kind.is_misdirected:
      # It may come from another endpoint.
      return
    if kind.has_invalid_limit:
      logs.log_event(
          _log,
          logging.WARNING,
          'limit_unreadable',
          endpoint=self._endpoint.name,
          value=repr(head.get(protocol.LIMIT)),
      )
      return
    at = asyncio.get_running_loop().time()
    if kind.limit is None:
      # Only a response that the endpoint made itself shows that it has none.
      if head.status >= 300 or (needs_signature and not kind.is_trusted):
        return
      at = self.sent_at
    limit = endpoint_limits.Limit(kind.limit, at, '')
    self._state.observe_limit(self._endpoint.incarnation, limit)

  async def read_some(self, limit: SilenceLimit | None) -> bytes:
    """Waits for more data of the response.

    Args:
      limit: When the run may be given up; None for never.

    Returns:
      The data received; empty at the end of a complete response.

    Raises:
      ExchangeBrokenError: The response broke off.
      RunGivenUpError: The endpoint is silent and another run is secured.
    """
    return await self._read(self.exchange.read_some, self._lacks_data, limit)

  async def _read(
      self,
      read: Callable[[], Awaitable[_T]],
      is_silent: Callable[[], bool],
      limit: SilenceLimit | None,
  ) -> _T:
    """Reads; gives up only if another run is secured."""
    endpoints = self._state.endpoints
    wait_s = limit.after_s if limit is not None else None
    is_late = False
    while True:
      try:
        async with asyncio.timeout(wait_s):
          found = await read()
        if is_late:
          endpoints.record_success(self._endpoint)
        return found
      except TimeoutError:
        # Timers may run before sockets are read if this process stood still.
        await stream_client.read_arrived()
        if not is_silent():
          continue
        self._record_silence(limit.after_s, is_late)
        is_late = True
      if await limit.secure(is_silent):
        raise errors.RunGivenUpError(self._endpoint.name)
      wait_s = SECURE_INTERVAL_S

  def _record_silence(self, after_s: float, is_known: bool) -> None:
    """Keeps other requests off an endpoint that does not respond to any."""
    now = asyncio.get_running_loop().time()
    self._state.reach.record_doubt()
    if now - self._own_load.last_response_at >= after_s:
      self._state.endpoints.suspend_silent(self._endpoint, now)
    elif not is_known:
      self._state.endpoints.record_failure(self._endpoint, now)

  def _lacks_head(self) -> bool:
    return self.exchange.head is None and self.exchange.is_silent

  def _lacks_data(self) -> bool:
    return self.exchange.is_silent

  def record_break(self, reason: str, has_event: bool) -> None:
    """Records that the response broke off.

    Args:
      reason: Identifier of the cause, for logs.
      has_event: Whether an event of the response had arrived.
    """
    if reason not in ENDPOINT_END_REASONS:
      self._record_unusable(reason, has_event)
      return
    now = asyncio.get_running_loop().time()
    parts = crashing_parts.candidate_keys(self._call.parts)
    name, started_ms = self._endpoint.incarnation
    self._is_judged = True
    self._state.endpoints.record_failure(self._endpoint, now)
    self._state.reach.record_doubt()
    if self._state.reach.is_apart:
      # The connection was cut; this says nothing about the endpoint.
      return
    self._state.crash_watch.record_break(
        self._endpoint.incarnation,
        self._call.fingerprint,
        has_event,
        now,
        parts,
    )
    self._log.record(
        'broke',
        reason,
        now,
        self._call.route.name,
        request=self._call.id,
        request_hash=call_log.format_hash(self._call.fingerprint),
        parts=crashing_parts.format_keys(parts),
        endpoint=name,
        started_ms=started_ms,
        has_event=has_event,
        silent_s=round(now - max(self.sent_at, self._heard_at), 3),
        is_refused=self._state.is_refused(self._call, now),
    )

  def record_completion(self) -> None:
    """Records that the answer was received to its end."""
    now = asyncio.get_running_loop().time()
    self._state.crash_watch.record_completion(
        self._endpoint.incarnation,
        open_ended_answers.CompleteAnswer(
            self._call.fingerprint,
            crashing_parts.candidate_keys(self._call.parts),
            self._answered_at,
            now,
        ),
        self.exchange.head.is_open_ended,
        now,
    )

  def _record_unusable(self, reason: str, has_event: bool) -> None:
    """Records that this host gave up the response for what it contains.

    The endpoint was alive; `close` remembers the attempt in case it ends soon.
    """
    now = asyncio.get_running_loop().time()
    name, started_ms = self._endpoint.incarnation
    if reason in ENDLESS_REASONS:
      self._state.endpoints.suspend_endless(self._endpoint, now)
    else:
      self._state.endpoints.record_failure(self._endpoint, now)
    self._log.record(
        'broke',
        reason,
        now,
        self._call.route.name,
        request=self._call.id,
        request_hash=call_log.format_hash(self._call.fingerprint),
        endpoint=name,
        started_ms=started_ms,
        has_event=has_event,
        after_s=round(now - self.sent_at, 3),
    )

  def record_prefill(self, tokens_ahead: int) -> None:
    """Records that prefill finished; updates the model of the engine."""
    now = asyncio.get_running_loop().time()
    self._state.load.observe_prefill(
        self._endpoint, tokens_ahead, now - self.sent_at, now
    )
    self._release_tokens()

  def record_start(self, tokens: int) -> None:
    """Records the first event of a request that was prefilled elsewhere."""
    now = asyncio.get_running_loop().time()
    work = engine_models.Work.START
    took_s = now - self.sent_at
    self._state.load.models.observe(self._endpoint, work, tokens, took_s, now)

  def record_activity(self) -> None:
    """Records that the endpoint sent data for this request."""
    now = asyncio.get_running_loop().time()
    self._answered_at = self._answered_at or now
    connected_at = self._connection.opened_at
    self._state.crash_watch.record_response(
        self._endpoint.incarnation,
        connected_at,
        self.sent_at,
        self._state.has_store_contact_since(connected_at, now),
        now,
    )
    self._state.reach.record_data()
    self._heard_at = now
    self._own_load.last_response_at = now
    self._own_load.pending_since.pop(id(self), None)

  def close(self) -> None:
    """Releases the load and the connection of this request."""
    self._release_tokens()
    self._own_load.pending_since.pop(id(self), None)
    self._own_load.count -= 1
    self._state.load_changed.set()
    self._own_load.decoding -= self._decode_quarters
    connection = self._connection
    if connection is None:
      return
    if self.exchange.is_done and connection.is_open:
      self._state.pool.release(self._endpoint, connection)
      return
    if self.exchange.is_done:
      connection.close()
      return
    if not self._is_judged and not self._state.reach.is_apart:
      self._state.crash_watch.record_unanswered(
          self._endpoint.incarnation,
          self._call.fingerprint,
          self.exchange.head is not None,
          asyncio.get_running_loop().time(),
          crashing_parts.candidate_keys(self._call.parts),
      )
    connection.abort()

  def _release_tokens(self) -> None:
    if self._tokens:
      self._state.load_changed.set()
    self._own_load.reads.remove(id(self))
    self._tokens = 0

  def _is_full_refusal(self, kind: requests.ResponseTraits, now: float) -> bool:
    """Returns whether a refusal means that the endpoint is full.

    The refusal of a request without prefill may mean that its KV handle has
    expired. A late refusal may mean that the deadline passed while the request
    was queued at the endpoint.
    """
    if kind.is_misdirected or not self._tokens:
      return False
    left_s = self._call.deadline_at - self.sent_at
    return now - self.sent_at < FULL_REFUSAL_TIME_FRACTION * left_s

  async def _read_refusal(self) -> None:
    """Reads a refusal completely, so that the connection can be reused."""
    try:
      async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
        await self.exchange.read_all(MAX_REFUSAL_BYTES)
    except (errors.ExchangeBrokenError, TimeoutError) as error:
      # The head alone confirms that the request did not run. The connection
      # can't be reused and will be closed.
      logs.log_event(
          _log,
          logging.INFO,
          'refusal_not_whole',
          request=self._call.id,
          endpoint=self._endpoint.name,
          error=repr(error),
      )

  async def _evaluate_head(
      self,
      head: stream_client.Head,
      kind: requests.ResponseTraits,
      needs_signature: bool,
  ) -> SendResult:
    state = self._state
    now = asyncio.get_running_loop().time()
    if kind.is_misdirected:
      instance = head.get(protocol.INSTANCE)
      if instance is not None and instance != self._endpoint.name.encode():
        state.endpoints.mark_leaving(self._endpoint.incarnation, now)
        state.drop_endpoint(self._endpoint.name)
    if kind.is_not_run:
      self._is_judged = True
      self._own_load.refusal_pause.record_refused(now)
      if self._is_full_refusal(kind, now):
        state.load.record_refused(self._endpoint, self._other_count)
      await self._read_refusal()
      return SendResult(Outcome.NOT_RUN, f'status_{head.status}')
    if head.status < 300 and not kind.is_trusted and needs_signature:
      state.endpoints.record_failure(self._endpoint, now)
      return SendResult(Outcome.BROKEN, 'no_signature')
    if head.status in NOT_RUN_STATUSES or (
        head.status >= 300 and not kind.is_trusted
    ):
      state.endpoints.record_failure(self._endpoint, now)
      return SendResult(Outcome.BROKEN, f'status_{head.status}')
    self._own_load.refusal_pause.record_accepted()
    if self._tokens:
      state.load.record_accepted(self._endpoint, self._other_count)
    return SendResult(
        Outcome.ANSWERED, f'status_{head.status}', head, kind.says_leaving
    )
