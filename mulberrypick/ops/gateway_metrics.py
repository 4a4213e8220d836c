"""Counters and latency histograms of a gateway, as text to be fetched.

The platform fetches them from an address in the deploy file, so that here the
library is `prometheus_client`, and not the one that sends to statsd.
"""

import prometheus_client

from mulberrypick.adapters import stream_server
from mulberrypick.core import gateway_records
from mulberrypick.ops import gateway_state

# Upper ends of the histogram's classes (s): the targets of today's routes lie
# between 0.1 and 0.4, their time limits between 0.8 and 15.
BUCKET_BOUNDS_S = (
    0.01,
    0.025,
    0.05,
    0.1,
    0.15,
    0.2,
    0.3,
    0.4,
    0.6,
    1.0,
    2.0,
    15.0,
)
_LABELS = ('kind', 'rank', 'zone', 'outcome')


class GatewayMetrics:
  """All metrics of one process."""

  def __init__(self, state: gateway_state.GatewayState):
    self._state = state
    self._registry = prometheus_client.CollectorRegistry()
    self._calls = prometheus_client.Counter(
        'mulberrypick_calls',
        'Requests of callers that ended.',
        _LABELS,
        registry=self._registry,
    )
    self._first_event = prometheus_client.Histogram(
        'mulberrypick_first_event_seconds',
        'From the arrival of a request to the first of its answer.',
        _LABELS,
        buckets=BUCKET_BOUNDS_S,
        registry=self._registry,
    )
    self._gauge('config_version', lambda: self._config_version())
    self._gauge('endpoints', lambda: len(list(state.endpoints.all())))
    self._gauge('hosts', lambda: state.hosts)
    self._gauge('connections_opened', lambda: state.pool.opened_count)

  def observe_call(
      self,
      route: gateway_records.Route,
      outcome: str,
      first_s: float,
  ) -> None:
    """Counts a request that ended."""
    labels = (
        route.kind.value,
        str(route.rank),
        self._state.host.zone,
        outcome,
    )
    self._calls.labels(*labels).inc()
    self._first_event.labels(*labels).observe(first_s)

  async def answer(
      self,
      received: stream_server.ReceivedRequest,
      caller: stream_server.ServerConnection,
  ) -> None:
    """Answers whoever fetches the metrics."""
    del received
    text = prometheus_client.generate_latest(self._registry)
    kind = (b'Content-Type', b'text/plain; version=0.0.4')
    caller.write_response(200, [kind], text)

  def _gauge(self, name: str, read) -> None:
    gauge = prometheus_client.Gauge(
        f'mulberrypick_{name}', f'Present {name}.', registry=self._registry
    )
    gauge.set_function(read)

  def _config_version(self) -> int:
    config = self._state.config
    return config.version if config else 0
