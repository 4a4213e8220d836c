"""What an entry host knows of the load of each endpoint.

A report says how an engine stood some time ago; what this host sent since then
is known exactly, and what its peers sent is known from their digests. The
three are kept apart here, so that a router can weigh each by its age.
"""

from typing import NamedTuple

from mulberrypick.core import records


class Sent(NamedTuple):
  """Work that this host has under way on an endpoint.

  Attributes:
    attempt_id: The attempt.
    request_id: The request.
    cost_s: Predicted engine seconds of the whole attempt.
    prefill_tokens: Prompt tokens that have to be computed.
    pieces: Pieces of KV memory that it will hold.
    sent_at: When it was sent.
  """

  attempt_id: str
  request_id: str
  cost_s: float
  prefill_tokens: int
  pieces: int
  sent_at: float


class EndpointLoad:
  """The load of one endpoint, as this host knows it.

  Attributes:
    name: Name of the endpoint.
    zone: Its availability zone.
    address: `ip:port`.
    incarnation: The incarnation that the figures belong to.
    report: The last report, or None.
    report_at: When the reported figures were true.
    sent_by_attempt: Own attempts under way.
    prefill_by_attempt: Prefill tokens of those without a first token yet.
    pieces_sent: Sum of the pieces of own attempts.
    peer_cost_by_peer: Engine seconds that each peer has under way here.
    rest_until: No new work before this time, after a failure or refusal.
    failures: Failures in a row.
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
      'pieces_sent',
      'cost_sent_s',
      'peer_cost_by_peer',
      'rest_until',
      'failures',
  )

  def __init__(self, host: records.Host):
    self.name = host.name
    self.zone = host.zone
    self.address = host.address
    self.incarnation = host.incarnation
    self.report: records.EngineReport | None = None
    self.report_at = 0.0
    self.sent_by_attempt: dict[str, Sent] = {}
    self.prefill_by_attempt: dict[str, int] = {}
    self.prefill_sent = 0
    self.pieces_sent = 0
    self.cost_sent_s = 0.0
    self.peer_cost_by_peer: dict[str, float] = {}
    self.rest_until = 0.0
    self.failures = 0

  def see_report(self, report: records.EngineReport, now: float) -> bool:
    """Takes in a report unless it is older than the one held."""
    true_at = now - report.age_s
    if report.incarnation < self.incarnation:
      return False
    if report.incarnation == self.incarnation and true_at < self.report_at:
      return False
    self.incarnation = report.incarnation
    self.report = report
    self.report_at = true_at
    return True

  def add(self, sent: Sent) -> None:
    """Counts an attempt that was sent here."""
    self.sent_by_attempt[sent.attempt_id] = sent
    self.prefill_by_attempt[sent.attempt_id] = sent.prefill_tokens
    self.prefill_sent += sent.prefill_tokens
    self.pieces_sent += sent.pieces
    self.cost_sent_s += sent.cost_s

  def see_first_token(self, attempt_id: str) -> None:
    """Notes that the prefill of an attempt is over."""
    self.prefill_sent -= self.prefill_by_attempt.pop(attempt_id, 0)

  def remove(self, attempt_id: str) -> Sent | None:
    """Forgets an attempt that ended."""
    self.see_first_token(attempt_id)
    sent = self.sent_by_attempt.pop(attempt_id, None)
    if sent is None:
      return None
    self.pieces_sent -= sent.pieces
    self.cost_sent_s -= sent.cost_s
    return sent

  def rest(self, until: float) -> None:
    """Keeps new work away until a time."""
    self.rest_until = max(self.rest_until, until)

  @property
  def in_flight(self) -> int:
    """Own attempts under way."""
    return len(self.sent_by_attempt)
