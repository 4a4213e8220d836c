"""One send of a request to one endpoint."""

import asyncio
import enum
import logging
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import logs
from mulberrypick.adapters import stream_client
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.ops import gateway_state
from mulberrypick.platform import protocol
from mulberrypick.platform import requests

_log = logging.getLogger(__name__)
# Bodies of plain answers that are read whole before they go on.
MAX_RESPONSE_BYTES = 16 * 1024 * 1024
# Time for the body of a refusal after its head (s): they come together, and a
# caller must not wait for what is only read to keep a connection.
REFUSAL_BODY_TIMEOUT_S = 0.1
# Share of the time left within which a full endpoint refuses: at once, but a
# body takes its time on a slow link.
FULL_REFUSAL_TIME_FRACTION = 0.5
# These promise that nothing ran; without the endpoint's own word they don't.
NOT_RUN_STATUSES = (408, 421, 429, 503)


class Outcome(enum.Enum):
  """What a send came to."""

  # No connection: nothing was sent.
  NOT_SENT = 'not_sent'
  # The endpoint says that it did not run the request.
  NOT_RUN = 'not_run'
  # A head that can be trusted is here; the body follows.
  ANSWERED = 'answered'
  # It may have run, and there is no answer that can be used.
  BROKEN = 'broken'


class SendResult(NamedTuple):
  """What a send came to.

  Attributes:
    outcome: What it came to.
    reason: A word for logs.
    head: The head, with `ANSWERED`.
  """

  outcome: Outcome
  reason: str
  head: stream_client.Head | None = None


class EndpointSend:
  """A request on its way to an endpoint, and the answer on its way back.

  The owner calls `close` in any case. An answer that is not whole by then ends
  the connection, so that the endpoint stops its work.
  """

  def __init__(
      self,
      state: gateway_state.GatewayState,
      endpoint: gateway_records.Endpoint,
      call: gateway_records.Call,
      tokens: int,
      decoding: int,
  ):
    self._state = state
    self._endpoint = endpoint
    self._call = call
    self._tokens = tokens
    self._decoding = decoding
    self._rank = min(call.route.rank, 1)
    self._own_load = state.load.own(endpoint)
    self._own_load.count += 1
    self._own_load.decoding += decoding
    state.load_changed.set()
    self._own_load.tokens[self._rank] += tokens
    self._connection: stream_client.ClientConnection | None = None
    self.exchange = stream_client.Exchange(
        lambda head: requests.is_response_to(call.id, head)
    )
    self.sent_at = 0.0
    self._other_count = 0

  async def start(
      self,
      encode: Callable[[float], bytes],
      head_timeout_s: float | None,
      needs_signature: bool,
  ) -> SendResult:
    """Sends the request and waits for the head of its answer.

    Args:
      encode: Writes the request, given the time on the loop's clock.
      head_timeout_s: Time for the head; None to wait for as long as it takes.
      needs_signature: Whether a success counts only with the endpoint's mark.
    """
    loop = asyncio.get_running_loop()
    state = self._state
    try:
      self._connection = await state.pool.acquire(
          self._endpoint, not self._call.route.is_idempotent
      )
    except errors.ConnectError:
      state.endpoints.record_failure(self._endpoint, loop.time(), True)
      return SendResult(Outcome.NOT_SENT, 'connect')
    self.sent_at = loop.time()
    self._own_load.pending_since[id(self)] = self.sent_at
    count = state.load.total(self._endpoint, self.sent_at).count
    self._other_count = count - 1
    self._connection.send(encode(self.sent_at), self.exchange)
    try:
      async with asyncio.timeout(head_timeout_s):
        head = await self.exchange.read_head()
    except TimeoutError:
      state.endpoints.record_failure(self._endpoint, loop.time())
      return SendResult(Outcome.BROKEN, 'silent')
    except errors.ExchangeBrokenError as error:
      self.record_break(False)
      return SendResult(Outcome.BROKEN, error.reason)
    self.record_activity()
    return await self._evaluate_head(head, needs_signature)

  async def read_some(self, stall_s: float | None) -> bytes:
    """Waits for more of the answer.

    Args:
      stall_s: Longest pause that is borne; None for any.

    Returns:
      What has arrived; empty at the end of a whole answer.

    Raises:
      ExchangeBrokenError: It broke off, or stood still for too long.
    """
    try:
      async with asyncio.timeout(stall_s):
        return await self.exchange.read_some()
    except TimeoutError as error:
      raise errors.ExchangeBrokenError('stalled') from error

  def record_break(self, has_event: bool) -> None:
    """Notes that the answer broke off."""
    now = asyncio.get_running_loop().time()
    name, started_ms = self._endpoint.incarnation
    self._state.endpoints.record_failure(self._endpoint, now)
    self._state.quarantine.record_broken_attempt(
        name, started_ms, self._call.fingerprint, has_event, now
    )

  def record_prefill(self, tokens_ahead: int) -> None:
    """Notes that the prompt was read, and learns from the time it took."""
    took_s = asyncio.get_running_loop().time() - self.sent_at
    self._state.load.observe_prefill(self._endpoint, tokens_ahead, took_s)
    self._release_tokens()

  def record_activity(self) -> None:
    """Notes that the endpoint says something of this request."""
    self._own_load.last_response_at = asyncio.get_running_loop().time()
    self._own_load.pending_since.pop(id(self), None)

  def close(self) -> None:
    """Ends the send."""
    self._release_tokens()
    self._own_load.pending_since.pop(id(self), None)
    self._own_load.count -= 1
    self._state.load_changed.set()
    self._own_load.decoding -= self._decoding
    connection = self._connection
    if connection is None:
      return
    if self.exchange.is_done and connection.is_open:
      self._state.pool.release(self._endpoint, connection)
      return
    if self.exchange.is_done:
      connection.close()
      return
    connection.abort()

  def _release_tokens(self) -> None:
    if self._tokens:
      self._state.load_changed.set()
    self._own_load.tokens[self._rank] -= self._tokens
    self._tokens = 0

  def _is_full_refusal(self, kind: requests.ResponseTraits, now: float) -> bool:
    """Tells whether a refusal says that the endpoint has no place.

    One without a prompt to be read may say that a handle is gone; one that
    comes late, that the deadline passed while the request waited there.
    """
    if kind.is_misdirected or not self._tokens:
      return False
    left_s = self._call.deadline_at - self.sent_at
    return now - self.sent_at < FULL_REFUSAL_TIME_FRACTION * left_s

  async def _read_refusal(self) -> None:
    """Reads a refusal to its end, so that the connection can be kept."""
    try:
      async with asyncio.timeout(REFUSAL_BODY_TIMEOUT_S):
        await self.exchange.read_all(MAX_RESPONSE_BYTES)
    except (errors.ExchangeBrokenError, TimeoutError) as error:
      # The head alone makes the promise; the connection is ended.
      logs.log_event(
          _log,
          logging.INFO,
          'refusal_not_whole',
          request=self._call.id,
          endpoint=self._endpoint.name,
          error=repr(error),
      )

  async def _evaluate_head(
      self, head: stream_client.Head, needs_signature: bool
  ) -> SendResult:
    state = self._state
    now = asyncio.get_running_loop().time()
    kind = requests.classify_response(head)
    if kind.is_misdirected:
      instance = head.get(protocol.INSTANCE)
      if instance is not None and instance != self._endpoint.name.encode():
        state.endpoints.mark_leaving(self._endpoint.incarnation, now)
        state.drop_endpoint(self._endpoint.name)
    if kind.is_not_run:
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
    if self._tokens:
      state.load.record_accepted(self._endpoint, self._other_count)
    return SendResult(Outcome.ANSWERED, f'status_{head.status}', head)
