"""Messages into the dispatcher, and the effects that it answers with.

The dispatcher is a pure state machine: `handle(message, now)` returns effects.
The task that owns it turns effects into messages to the threads that hold the
callers' connections.
"""

from typing import NamedTuple

from mulberrypick.core import errors
from mulberrypick.core import records

# Outcomes of an attempt.
OUTCOME_WHOLE = 'whole'
OUTCOME_REFUSED = 'refused'
OUTCOME_UNREACHABLE = 'unreachable'
OUTCOME_FAILED = 'failed'
OUTCOME_CANCELLED = 'cancelled'


class Submit(NamedTuple):
  """A checked request asks for an endpoint.

  Attributes:
    request: The request.
    next_index: First token wanted; above 0 for a resume.
    failed_endpoints: Endpoints that earlier attempts of it ended on.
  """

  request: records.InferenceRequest
  next_index: int
  failed_endpoints: tuple[str, ...]


class Withdraw(NamedTuple):
  """The caller left while its request waited."""

  request_id: str


class FirstToken(NamedTuple):
  """The first token of an attempt arrived."""

  request_id: str
  attempt_id: str


class AttemptEnded(NamedTuple):
  """An attempt is over.

  Attributes:
    request_id: The request.
    attempt_id: The attempt.
    endpoint: Where it ran.
    outcome: One of the `OUTCOME_` constants.
    tokens: Tokens that it streamed.
    prompt_tokens: Prompt tokens as the engine counted them, 0 if unknown.
    cached_tokens: Those of them that were in the engine's cache.
  """

  request_id: str
  attempt_id: str
  endpoint: str
  outcome: str
  tokens: int
  prompt_tokens: int
  cached_tokens: int


class ConfigSeen(NamedTuple):
  """A newer configuration is in force."""

  config: records.Config


class HostsSeen(NamedTuple):
  """A newer list of hosts, from the platform or a peer."""

  hosts: tuple[records.Host, ...]


class ReportSeen(NamedTuple):
  """A load report, straight from the engine or through a peer."""

  report: records.EngineReport


class PeerSeen(NamedTuple):
  """What another entry host tells of its own load, once a second or so.

  Attributes:
    peer: Name of the entry host.
    in_flight_by_endpoint: Predicted engine seconds that it has under way.
    used_by_tenant: Engine seconds that each tenant used there, decayed.
    quarantined: Fingerprints of requests that crash endpoints.
    leaving: Endpoints that it has seen leaving, `name/incarnation`.
    used_by_rank: Engine seconds that each rank used there, decayed.
    waiting_by_rank: For each rank that waits there, the lowest use over share
      of a waiting tenant.
    suspects: Fingerprints of requests that ran on an endpoint that crashed.
    retry_delay_by_key: Seconds until refused requests were told to come back,
      by key.
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


class CacheSeen(NamedTuple):
  """Cache events of an engine, in the order of their numbers.

  Attributes:
    endpoint: The engine.
    stored: Blocks that it stored.
    evicted: Blocks that it evicted.
  """

  endpoint: str
  stored: tuple[int, ...]
  evicted: tuple[int, ...]


class Tick(NamedTuple):
  """Time passed; sent every 20 ms or so while requests wait."""


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
  """Run a request on an endpoint.

  Attributes:
    request_id: The request.
    attempt: The attempt that generates.
    prefill_attempt: An attempt that prefills elsewhere first, or None.
  """

  request_id: str
  attempt: records.Attempt
  prefill_attempt: records.Attempt | None


class Refuse(NamedTuple):
  """Give a request its final answer now.

  Attributes:
    request_id: The request.
    error: The refusal.
  """

  request_id: str
  error: errors.RequestError


Effect = Start | Refuse
