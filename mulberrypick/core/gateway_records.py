"""Records of the gateway: requests, routes, endpoints and hosts.

Field names state the unit: `_s` seconds, `_ms` milliseconds, otherwise bytes
or tokens. The records don't depend on any wire format.
"""

import enum
from typing import NamedTuple


class CallKind(enum.Enum):
  """Whether and how a request may be retried."""

  SAFE = 'safe'
  UNSAFE = 'unsafe'
  STREAM = 'stream'


class Stage(enum.Enum):
  """Phase of inference that an endpoint runs; NONE for plain services."""

  NONE = 'none'
  PREFILL = 'prefill'
  DECODE = 'decode'


class Route(NamedTuple):
  """A route of the configuration.

  Attributes:
    name: Name of the route.
    hostname: Host name in the caller's request.
    path_prefix: Prefix of the path; begins and ends with a slash.
    kind: Whether and how its requests may be retried.
    timeout_s: Longest time until the final answer.
    target_s: Target of the time to the answer, or to the first event of a
      stream.
    rank: Priority; 0 is the most urgent.
    share_by_service: Weight of each service that may serve the route.
    attempts: Number of endpoints that one request may be sent to.
    is_resumable: Whether another endpoint may resume a broken stream.
    gap_s: Longest pause between two events of a stream that is in time; 0 if
      it is not stated.
  """

  name: str
  hostname: str
  path_prefix: str
  kind: CallKind
  timeout_s: float
  target_s: float
  rank: int
  share_by_service: dict[str, int]
  attempts: int
  is_resumable: bool
  gap_s: float = 0.0

  @property
  def is_idempotent(self) -> bool:
    """Whether a request may run more than once."""
    if self.kind is CallKind.STREAM:
      return self.is_resumable
    return self.kind is CallKind.SAFE


class Service(NamedTuple):
  """A group of interchangeable endpoints.

  A plain service has endpoints that are no model engines.

  Attributes:
    name: Name of the service.
    max_connections: Connections that one endpoint accepts from all hosts.
    kv_tokens: Tokens that fit in the KV cache of one engine; 0 for a plain
      service.
    batch: Requests that one engine runs at a time; 0 for a plain service.
    kv_transfer_token_s: Time to transfer the KV cache of one token between two
      engines of a zone.
  """

  name: str
  max_connections: int
  kv_tokens: int
  batch: int
  kv_transfer_token_s: float = 0.0

  @property
  def is_engine(self) -> bool:
    """Whether its endpoints are model engines."""
    return self.kv_tokens > 0


class CallerLimits(NamedTuple):
  """Limits on the requests of callers.

  Attributes:
    header_bytes: Largest size of a request's headers.
    body_bytes: Largest size of a request's body.
    header_s: Longest time to receive the headers.
    idle_s: Longest time between two requests on a connection.
  """

  header_bytes: int
  body_bytes: int
  header_s: float
  idle_s: float


class GatewayConfig(NamedTuple):
  """One version of the complete configuration.

  Attributes:
    version: Version number; grows with every change.
    routes_by_host: Routes of each host name, longest prefix first.
    service_by_name: All services by name.
    limits: Limits on the requests of callers.
    raw: The bytes that it was parsed from, to be sent to other hosts.
  """

  version: int
  routes_by_host: dict[str, list[Route]]
  service_by_name: dict[str, Service]
  limits: CallerLimits
  raw: bytes

  def longest_timeout_s(self) -> float:
    """Returns the longest time limit of all routes, 0 if there are none."""
    timeouts = [0.0]
    for routes in self.routes_by_host.values():
      timeouts += [route.timeout_s for route in routes]
    return max(timeouts)


class Endpoint(NamedTuple):
  """An endpoint as the platform lists it.

  Attributes:
    name: Its name; may be the same after a restart.
    started_ms: Unix milliseconds of its start; distinguishes restarts.
    service: Name of its service.
    ip: IP address.
    port: Port.
    zone: Availability zone.
    slots: Requests that it runs at a time.
    is_leaving: Whether it accepts no new requests.
    stage: Phase of inference that it runs.
    software: Version of its software, not of its weights; empty if unknown.
      Versions have no order.
  """

  name: str
  started_ms: int
  service: str
  ip: str
  port: int
  zone: str
  slots: int
  is_leaving: bool
  stage: Stage
  software: str = ''

  @property
  def incarnation(self) -> tuple[str, int]:
    """Identifies one start of the endpoint."""
    return (self.name, self.started_ms)


class PromptPart(NamedTuple):
  """A part of a prompt that other requests may share.

  Attributes:
    key: Hash of its id, short enough to be sent to all hosts.
    tokens: Its size.
  """

  key: int
  tokens: int


class Call(NamedTuple):
  """A caller's request, without its body.

  Attributes:
    id: Its id; the caller makes a new one for each of its own retries.
    route: Its route.
    service: Name of the service that it is sent to.
    parts: The parts of the prompt, in order; empty for a plain service.
    prompt_tokens: Tokens of the prompt.
    output_tokens: Largest number of tokens to generate.
    fingerprint: Hash of the content, by which crashing requests are recognized.
    arrived_at: When it was received, on the event loop's clock.
    deadline_at: When the caller stops waiting, on the same clock.
    stream_id: Id of the attempt that received the first event of the stream;
      its own id if it begins one.
    software: Software version that the stream is bound to, None if to none.
      Empty if it can go on at no version.
  """

  id: str
  route: Route
  service: str
  parts: tuple[PromptPart, ...]
  prompt_tokens: int
  output_tokens: int
  fingerprint: int
  arrived_at: float
  deadline_at: float
  stream_id: str = ''
  software: str | None = None

  def may_run_at(self, endpoint: Endpoint) -> bool:
    """Returns whether an endpoint has the version that the stream needs."""
    if self.software is None:
      return True
    return bool(self.software) and endpoint.software == self.software


class PlatformLimits(NamedTuple):
  """Limits that the platform's settings state.

  Attributes:
    grace_s: Time between SIGTERM and SIGKILL.
    budget_ratio: Retries allowed per request.
    budget_slack: Further retries allowed per window, over all hosts.
    budget_window_s: Length of the window.
    drain_s: Time for which an endpoint that leaves still serves.
    steady_s: Time after a failure of a host's network, or of the store, within
      which the host must follow the store again.
    heartbeat_s: Interval at which endpoints write their entries in the store.
  """

  grace_s: float
  budget_ratio: float
  budget_slack: float
  budget_window_s: float
  drain_s: float = 2.0
  steady_s: float = 3.0
  heartbeat_s: float = 1.2


class GatewayHost(NamedTuple):
  """Settings of the host that a gateway process runs on.

  Attributes:
    name: Name of the host.
    zone: Its availability zone.
    ip: Its IP address.
    listen_port: Port for callers.
    ready_ip: IP address of the readiness check.
    ready_port: Port of the readiness check.
    peer_port: Port for messages of other hosts.
    forward_port: Port for requests that other hosts pass on; 0 for none.
    seeds: Addresses `IP:PORT` of a few other hosts; they may be outdated.
    store_ip: IP address of the store.
    store_port: Port of the store.
    is_first_start: Whether the whole system starts for the first time.
    bounds: Limits that the platform states.
  """

  name: str
  zone: str
  ip: str
  listen_port: int
  ready_ip: str
  ready_port: int
  peer_port: int
  seeds: tuple[str, ...]
  store_ip: str
  store_port: int
  is_first_start: bool
  bounds: PlatformLimits
  forward_port: int = 0
