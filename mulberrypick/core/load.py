"""Load of each endpoint, as an entry host knows it.

A load report describes an engine at an earlier time. The load that this host
sent is known exactly, and that of its peers from their digests. The load of
this host at the time of a report is subtracted from the report; the remainder
is the load of others, which decays with the age of the report.
"""

import collections
import math
from typing import NamedTuple

from mulberrypick.core import records

# Ended attempts that are remembered, as a late report may still include them.
MAX_ENDED = 64
# Age of a report at which the load of others has decayed to 1/e.
DECAY_S = 4.0
# Longest time that an attempt is in transit to its endpoint.
MAX_TRANSIT_S = 0.2
# Load sent by a peer expires after this time.
PEER_TTL_S = 5.0


class SentAttempt(NamedTuple):
  """An attempt that this host has in flight on an endpoint.

  Attributes:
    attempt_id: Id of the attempt.
    is_urgent: Whether its rank is urgent.
    cost_s: Predicted engine seconds of the whole attempt.
    prefill_tokens: Prompt tokens that have to be prefilled.
    pieces: KV cache blocks that it will hold.
    prefill_per_token_s: Seconds of prefill of the uncached part of the prompt,
      divided by the number of output tokens; 0 if the attempt only prefills.
      See `Cost.prefill_per_token_s`.
    sent_at: Time at which it was sent.
  """

  attempt_id: str
  is_urgent: bool
  cost_s: float
  prefill_tokens: int
  pieces: int
  prefill_per_token_s: float
  sent_at: float


class OtherLoad(NamedTuple):
  """Estimated load of an endpoint that does not come from this host.

  Attributes:
    prefill_tokens: Prompt tokens that wait for prefill.
    running: Sequences that decode.
    pieces: KV cache blocks in use.
  """

  prefill_tokens: float
  running: float
  pieces: float


NO_OTHER_LOAD = OtherLoad(0.0, 0.0, 0.0)


class Pool(NamedTuple):
  """The endpoints that may generate answers for a queue.

  Attributes:
    all: All of them.
    quiet: Those that are kept free of long prompts, for urgent requests.
    bulk: The others.
    names: Names of all of them.
  """

  all: list['EndpointLoad']
  quiet: list['EndpointLoad']
  bulk: list['EndpointLoad']
  names: frozenset[str] = frozenset()


class EndpointLoad:
  """The load of one endpoint, as this host knows it.

  Attributes:
    name: Name of the endpoint.
    zone: Its availability zone.
    address: `ip:port`.
    incarnation: The incarnation that the load belongs to.
    report: The last load report, or None.
    report_at: Time that the last report describes.
    sent_by_attempt: This host's attempts in flight, by attempt id.
    prefill_by_attempt: Prefill tokens of those without a first token yet.
    prefill_sent: Sum of `prefill_by_attempt`.
    urgent_prefill_sent: The part of `prefill_sent` that is of urgent ranks.
    pieces_sent: KV cache blocks of the attempts in flight.
    prefill_per_token_sent_s: Sum of `prefill_per_token_s` over the attempts in
      flight.
    cost_sent_s: Sum of `cost_s` over the attempts in flight.
    is_quiet: Whether it is kept free of long prompts.
    backoff_until: End of its backoff after a failure or refusal; it gets no new
      work before.
    failures: Consecutive failed connections.
  """

  __slots__ = (
      'name',
      'zone',
      'address',
      'incarnation',
      'report',
      'report_at',
      'sent_by_attempt',
      'prefill_by_attempt',
      'prefill_sent',
      'urgent_prefill_sent',
      'pieces_sent',
      'prefill_per_token_sent_s',
      'cost_sent_s',
      'is_quiet',
      'backoff_until',
      'failures',
      '_other_load',
      '_ended',
      '_cost_by_peer',
  )

  def __init__(self, host: records.Host):
    self.name = host.name
    self.zone = host.zone
    self.address = host.address
    self.incarnation = host.incarnation
    self.report: records.EngineReport | None = None
    self.report_at = 0.0
    self.sent_by_attempt: dict[str, SentAttempt] = {}
    self.prefill_by_attempt: dict[str, int] = {}
    self.prefill_sent = 0
    self.urgent_prefill_sent = 0
    self.pieces_sent = 0
    self.prefill_per_token_sent_s = 0.0
    self.cost_sent_s = 0.0
    self.is_quiet = False
    self.backoff_until = 0.0
    self.failures = 0
    self._other_load = NO_OTHER_LOAD
    self._ended: collections.deque = collections.deque(maxlen=MAX_ENDED)
    self._cost_by_peer: dict[str, tuple[float, float]] = {}

  @property
  def is_decoder(self) -> bool:
    """Whether it only decodes prompts that another engine has prefilled."""
    if self.report is None:
      return False
    return self.report.role == records.ROLE_DECODE

  @property
  def in_flight(self) -> int:
    """Number of this host's attempts in flight."""
    return len(self.sent_by_attempt)

  def handle_report(self, report: records.EngineReport, now: float) -> bool:
    """Stores a load report, and returns whether it is newer than the last."""
    valid_at = now - report.age_s
    if report.incarnation < self.incarnation:
      return False
    if report.incarnation == self.incarnation and valid_at < self.report_at:
      return False
    self.incarnation = report.incarnation
    self.report = report
    self.report_at = valid_at
    self._other_load = self._estimate_other_load(report, valid_at)
    if not report.waiting_tokens:
      self._end_waiting_prefills(valid_at)
    return True

  def update_peer(self, peer: str, cost_s: float, now: float) -> None:
    """Replaces the engine seconds that a peer has in flight on the endpoint."""
    if cost_s > 0.0:
      self._cost_by_peer[peer] = (cost_s, now)
    else:
      self._cost_by_peer.pop(peer, None)

  def other_load(self, now: float) -> OtherLoad:
    """Returns the load of others, decayed by the age of the report."""
    age_s = now - self.report_at
    if age_s <= 0.0:
      return self._other_load
    kept = math.exp(-age_s / DECAY_S)
    running = self._other_load.running * kept
    if self._cost_by_peer:
      running += (1.0 - kept) * self._estimate_peer_running(now)
    return OtherLoad(
        self._other_load.prefill_tokens * kept,
        running,
        self._other_load.pieces * kept,
    )

  def add(self, sent: SentAttempt) -> None:
    """Adds an attempt that was sent to the endpoint."""
    self.sent_by_attempt[sent.attempt_id] = sent
    self.prefill_by_attempt[sent.attempt_id] = sent.prefill_tokens
    self.prefill_sent += sent.prefill_tokens
    if sent.is_urgent:
      self.urgent_prefill_sent += sent.prefill_tokens
    self.pieces_sent += sent.pieces
    self.prefill_per_token_sent_s += sent.prefill_per_token_s
    self.cost_sent_s += sent.cost_s

  def record_first_token(self, attempt_id: str) -> None:
    """Records that the prefill of an attempt has ended."""
    tokens = self.prefill_by_attempt.pop(attempt_id, 0)
    self.prefill_sent -= tokens
    if tokens and self.sent_by_attempt[attempt_id].is_urgent:
      self.urgent_prefill_sent -= tokens

  def remove(self, attempt_id: str, now: float) -> SentAttempt | None:
    """Removes an attempt that ended; returns None for an unknown one."""
    sent = self.sent_by_attempt.get(attempt_id)
    if sent is None:
      return None
    is_prefilled = attempt_id not in self.prefill_by_attempt
    self.record_first_token(attempt_id)
    del self.sent_by_attempt[attempt_id]
    self.pieces_sent -= sent.pieces
    self.prefill_per_token_sent_s -= sent.prefill_per_token_s
    self.cost_sent_s -= sent.cost_s
    self._ended.append((sent, is_prefilled, now))
    return sent

  def back_off(self, until: float) -> None:
    """Keeps new work off the endpoint until a time."""
    self.backoff_until = max(self.backoff_until, until)

  def _end_waiting_prefills(self, valid_at: float) -> None:
    """Counts older attempts as prefilled, as no prompt waits any more.

    Their first token was not reported to this host yet.
    """
    for attempt_id in list(self.prefill_by_attempt):
      sent = self.sent_by_attempt[attempt_id]
      if sent.sent_at < valid_at - MAX_TRANSIT_S:
        self.record_first_token(attempt_id)

  def _estimate_peer_running(self, now: float) -> float:
    """Estimates the running sequences of peers from their engine seconds."""
    cost_s = 0.0
    for peer_cost_s, updated_at in self._cost_by_peer.values():
      if now - updated_at <= PEER_TTL_S:
        cost_s += peer_cost_s
    if not self.sent_by_attempt or self.cost_sent_s <= 0.0:
      return 0.0
    return cost_s * self.in_flight / self.cost_sent_s

  def _estimate_other_load(
      self, report: records.EngineReport, valid_at: float
  ) -> OtherLoad:
    """Subtracts this host's load at the time of a report from the report."""
    prefill, running, pieces = report.waiting_tokens, report.running, 0
    for sent in self.sent_by_attempt.values():
      if sent.sent_at > valid_at:
        continue
      pieces += sent.pieces
      if sent.attempt_id in self.prefill_by_attempt:
        prefill -= sent.prefill_tokens
      else:
        running -= 1
    for sent, is_prefilled, ended_at in self._ended:
      if sent.sent_at > valid_at or ended_at <= valid_at:
        continue
      pieces += sent.pieces
      if is_prefilled:
        running -= 1
    used = report.pieces_total - report.pieces_free - pieces
    return OtherLoad(max(0, prefill), max(0, running), max(0, used))
