"""Counters and latency histograms of a gateway in the Prometheus text format.

The platform scrapes them at an address given in the deploy file. This module
therefore uses `prometheus_client` and not the statsd client.
"""

import asyncio

import prometheus_client

from mulberrypick.adapters import received_request
from mulberrypick.adapters import server_connection
from mulberrypick.core import gateway_records
from mulberrypick.ops import gateway_state

# Upper bounds of the histogram buckets. The latency targets of the configured
# routes are 0.1 to 0.4 s, their timeouts 0.8 to 15 s.
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
_ENGINE_LABELS = ('service', 'software', 'work')
# Names and descriptions of the gauges of the models of engines.
ENGINE_GAUGES = (
    ('fixed_seconds', 'Expected time of a request without its tokens.'),
    ('token_seconds', 'Expected time for each token.'),
    ('spread', 'Relative standard error of the expected time.'),
    ('samples', 'Recent answers behind the expected time, of all hosts.'),
)


class GatewayMetrics:
  """Metrics of one gateway process."""

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
    self._longest_pause = prometheus_client.Histogram(
        'mulberrypick_longest_pause_seconds',
        'Longest time between two events of a stream.',
        _LABELS,
        buckets=BUCKET_BOUNDS_S,
        registry=self._registry,
    )
    self._engine_gauges = []
    for name, help_text in ENGINE_GAUGES:
      self._engine_gauges.append(
          prometheus_client.Gauge(
              f'mulberrypick_engine_{name}',
              help_text,
              _ENGINE_LABELS,
              registry=self._registry,
          )
      )
    self._gauge('config_version', lambda: self._config_version())
    self._gauge('endpoints', lambda: len(list(state.endpoints.all())))
    self._gauge('hosts', lambda: state.hosts)
    self._gauge('store_era_changes', lambda: state.store_era.changes)
    self._gauge('connections_opened', lambda: state.pool.opened_count)
    self._gauge('crashes', lambda: len(state.quarantine.all_crashes()))
    self._gauge('limited_endpoints', lambda: len(state.limits.limited()))
    self._gauge('held_off_endpoints', self._held_off_endpoints)
    self._gauge('switching_endpoints', self._switching_endpoints)
    self._gauge('limited_sends', lambda: state.limited_sends)
    self._gauge('apart', lambda: int(state.reach.is_apart))
    self._gauge('passed_on_requests', lambda: state.forwarded_count)
    self._gauge('taken_requests', lambda: state.taken_count)
    self._gauge('refused_requests', self._refused_requests)
    self._gauge('refused_parts', lambda: len(state.part_watch.refusals()))
    self._gauge('retries_taken', lambda: state.retry_log.taken)
    self._gauge('retries_denied', lambda: state.retry_log.denied)

  def observe_call(
      self,
      route: gateway_records.Route,
      outcome: str,
      first_s: float,
  ) -> None:
    """Records a request that ended and its time to the first event."""
    labels = self._labels(route, outcome)
    self._calls.labels(*labels).inc()
    self._first_event.labels(*labels).observe(first_s)

  def observe_pause(
      self, route: gateway_records.Route, outcome: str, longest_s: float
  ) -> None:
    """Records the longest pause of a stream that ended."""
    labels = self._labels(route, outcome)
    self._longest_pause.labels(*labels).observe(longest_s)

  def _labels(
      self, route: gateway_records.Route, outcome: str
  ) -> tuple[str, ...]:
    zone = self._state.host.zone
    return (route.kind.value, str(route.rank), zone, outcome)

  def _update_speeds(self) -> None:
    for key, model in self._state.load.models.all_models():
      labels = (key.service, key.software, key.work.value)
      values = (model.fixed_s, model.per_token_s, model.spread, model.samples)
      for gauge, value in zip(self._engine_gauges, values, strict=True):
        gauge.labels(*labels).set(value)

  async def answer(
      self,
      received: received_request.ReceivedRequest,
      caller: server_connection.ServerConnection,
  ) -> None:
    """Responds with all metrics."""
    del received
    self._update_speeds()
    text = prometheus_client.generate_latest(self._registry)
    kind = (b'Content-Type', b'text/plain; version=0.0.4')
    caller.write_response(200, [kind], text)

  def _gauge(self, name: str, read) -> None:
    gauge = prometheus_client.Gauge(
        f'mulberrypick_{name}', f'Present {name}.', registry=self._registry
    )
    gauge.set_function(read)

  def _refused_requests(self) -> int:
    now = asyncio.get_running_loop().time()
    return len(self._state.quarantine.refused(now))

  def _held_off_endpoints(self) -> int:
    now = asyncio.get_running_loop().time()
    return self._state.endpoints.hold_off.count(now)

  def _switching_endpoints(self) -> int:
    now = asyncio.get_running_loop().time()
    return self._state.endpoints.switches.count(now)

  def _config_version(self) -> int:
    config = self._state.config
    return config.version if config else 0
