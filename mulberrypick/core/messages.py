"""Messages to the dispatcher, and the effects that it returns.

The dispatcher is a state machine: `handle(message, now)` returns effects. The
task that owns it forwards the effects to the threads that serve the callers'
connections.
"""

from typing import NamedTuple

from mulberrypick.core import crash_exchange
from mulberrypick.core import errors
from mulberrypick.core import records

# Outcomes of an attempt.
OUTCOME_WHOLE = 'whole'
OUTCOME_REFUSED = 'refused'
OUTCOME_UNREACHABLE = 'unreachable'
OUTCOME_FAILED = 'failed'
OUTCOME_CANCELLED = 'cancelled'


class Submit(NamedTuple):
  """A validated request needs an endpoint.

  Attributes:
    request: The request.
    next_index: Index of the first token to generate; above 0 for a resume.
    failed_endpoints: Endpoints on which earlier attempts failed.
  """

  request: records.InferenceRequest
  next_index: int
  failed_endpoints: tuple[str, ...]

  @property
  def is_retry(self) -> bool:
    """Whether the request was sent to an endpoint before."""
    return bool(self.next_index or self.failed_endpoints)


class Withdraw(NamedTuple):
  """The caller disconnected while its request was queued."""

  request_id: str


class FirstToken(NamedTuple):
  """The first token of an attempt arrived."""

  request_id: str
  attempt_id: str


class AttemptEnded(NamedTuple):
  """An attempt ended.

  Attributes:
    request_id: The request.
    attempt_id: The attempt.
    endpoint: Name of the endpoint.
    outcome: One of the `OUTCOME_` constants.
    tokens: Number of tokens streamed.
    prompt_tokens: Prompt tokens as counted by the engine, 0 if unknown.
    cached_tokens: Number of them that were in the engine's cache.
  """

  request_id: str
  attempt_id: str
  endpoint: str
  outcome: str
  tokens: int
  prompt_tokens: int
  cached_tokens: int


class ConfigSeen(NamedTuple):
  """A newer configuration was adopted."""

  config: records.Config


class HostsSeen(NamedTuple):
  """A newer list of hosts arrived from the platform or a peer."""

  hosts: tuple[records.Host, ...]


class ReportSeen(NamedTuple):
  """A load report arrived, from the engine itself or through a peer."""

  report: records.EngineReport


class PeerSeen(NamedTuple):
  """The state of another entry host, sent about once a second.

  Attributes:
    peer: Name of the entry host.
    in_flight_by_endpoint: Predicted engine seconds of the attempts that the
      peer has in flight on each endpoint.
    used_by_tenant: Decayed sum of engine seconds used there by each tenant.
    quarantined: Fingerprints of requests that crash endpoints.
    leaving: Endpoints that the peer knows to be leaving, `name/incarnation`.
    used_by_rank: Decayed sum of engine seconds used there by each rank.
    waiting_by_rank: For each rank with queued requests there, the lowest ratio
      of usage to share among the waiting tenants.
    suspects: Fingerprints of requests that ran on an endpoint when it crashed.
    retry_delay_by_key: For requests that the peer has just refused, seconds
      until they may retry, by `retry_slots.retry_slot_key`.
    crash_news: Crashes of endpoints, with the requests that ran there.
  """

  peer: str
  in_flight_by_endpoint: dict[str, float]
  used_by_tenant: dict[str, float]
  quarantined: tuple[int, ...]
  leaving: tuple[str, ...]
  used_by_rank: dict[str, float] = {}
  waiting_by_rank: dict[str, float] = {}
  suspects: tuple[int, ...] = ()
  retry_delay_by_key: dict[int, float] = {}
  crash_news: crash_exchange.CrashNews = crash_exchange.CrashNews()


class CacheSeen(NamedTuple):
  """Cache events of an engine, in the order of their sequence numbers.

  Attributes:
    endpoint: Name of the engine.
    stored: Hashes of the blocks that it stored.
    evicted: Hashes of the blocks that it evicted.
  """

  endpoint: str
  stored: tuple[int, ...]
  evicted: tuple[int, ...]


class Tick(NamedTuple):
  """Time passed; sent about every 20 ms while requests are queued."""


Message = (
    Submit
    | Withdraw
    | FirstToken
    | AttemptEnded
    | ConfigSeen
    | HostsSeen
    | ReportSeen
    | PeerSeen
    | CacheSeen
    | Tick
)


class Start(NamedTuple):
  """Start a request on an endpoint.

  Attributes:
    request_id: The request.
    attempt: The attempt that generates the answer.
    prefill_attempt: An attempt that first runs prefill on another engine, or
      None.
  """

  request_id: str
  attempt: records.Attempt
  prefill_attempt: records.Attempt | None


class Refuse(NamedTuple):
  """Refuse a request.

  Attributes:
    request_id: The request.
    error: The error to send to the caller.
  """

  request_id: str
  error: errors.RequestError


Effect = Start | Refuse
# What the dispatcher returns for a message, in the order in which it must be
# carried out.
Effects = list[Effect]
