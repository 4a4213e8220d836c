"""The task that owns metrics: statsd counters and timers, and histograms.

Results of requests arrive through a bounded queue. When it is full, results are
dropped and counted, because no caller may wait for a metric. The histograms for
each tenant and rank are HDR histograms, whose encoded form can be merged across
hosts without loss.
"""

import logging
import queue
import threading
from typing import NamedTuple

import statsd
from hdrh import histogram

from mulberrypick.core import settings
from mulberrypick.ops import completions

MAX_QUEUED_RESULTS = 10_000
MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_FIGURES = 2
STATSD_PREFIX = 'mulberrypick'

METRIC_FIRST_TOKEN = 'first_token'
METRIC_TOTAL = 'total'
METRIC_BETWEEN_TOKENS = 'between_tokens'
METRIC_TOKENS = 'tokens'
METRIC_REQUESTS = 'requests'
METRIC_ATTEMPTS = 'attempts'
METRIC_DROPPED = 'metrics_dropped'

KIND_COUNTER = 'counter'
KIND_TIMER = 'timer'
LABELS = '<tenant>.<rank>'
LABELS_OUTCOME = '<tenant>.<rank>.<outcome>'


class Metric(NamedTuple):
  """A metric as it is sent to statsd.

  Attributes:
    name: One of the `METRIC_` names.
    kind: `KIND_COUNTER` or `KIND_TIMER`; timers are in milliseconds.
    labels: The labels that follow the name, or empty.
    help: One line for the reference page of metrics.
  """

  name: str
  kind: str
  labels: str
  help: str


METRICS = (
    Metric(
        METRIC_REQUESTS,
        KIND_COUNTER,
        LABELS_OUTCOME,
        'Completions that ended: whole, left, or the type of the error.',
    ),
    Metric(
        METRIC_ATTEMPTS,
        KIND_COUNTER,
        LABELS,
        'Attempts on engines; above the number of requests by the retries.',
    ),
    Metric(
        METRIC_TOKENS,
        KIND_COUNTER,
        LABELS,
        'Tokens that were given to callers.',
    ),
    Metric(
        METRIC_FIRST_TOKEN,
        KIND_TIMER,
        LABELS,
        'From arrival to the first token.',
    ),
    Metric(
        METRIC_BETWEEN_TOKENS,
        KIND_TIMER,
        LABELS,
        'Mean time between two tokens of one answer.',
    ),
    Metric(
        METRIC_TOTAL,
        KIND_TIMER,
        LABELS,
        'From arrival to the last token, of whole answers only.',
    ),
    Metric(
        METRIC_DROPPED,
        KIND_COUNTER,
        '',
        'Results that no metric counts, as the queue of metrics was full.',
    ),
)

_logger = logging.getLogger(__name__)


class HistogramKey(NamedTuple):
  """Identifies a histogram.

  Attributes:
    metric: One of the `METRIC_` names of a duration.
    tenant: Name of the tenant.
    rank: Name of the rank.
  """

  metric: str
  tenant: str
  rank: str


class HistogramSnapshot(NamedTuple):
  """The current values of a histogram of milliseconds.

  Attributes:
    key: Identifies the histogram.
    count: Number of recorded values.
    p50_ms: Median.
    p95_ms: 95th percentile.
    p99_ms: 99th percentile.
    encoded: The HDR histogram in its portable encoding, for merging.
  """

  key: HistogramKey
  count: int
  p50_ms: int
  p95_ms: int
  p99_ms: int
  encoded: str


class MetricsSnapshot(NamedTuple):
  """All histograms and outcomes since the start.

  Attributes:
    histograms: One for each metric, tenant and rank.
    count_by_outcome: Number of requests by outcome.
    dropped: Number of results dropped because the queue was full.
  """

  histograms: tuple[HistogramSnapshot, ...]
  count_by_outcome: dict[str, int]
  dropped: int


class MetricsTask:
  """Owns the histograms and the statsd socket."""

  def __init__(self, statsd_address: settings.Address | None):
    """Creates the task.

    Args:
      statsd_address: Address for statsd datagrams, or None to send none.
    """
    self._client = None
    if statsd_address is not None:
      self._client = statsd.StatsClient(
          statsd_address.ip, statsd_address.port, prefix=STATSD_PREFIX
      )
    self._inbox: queue.Queue[
        completions.CompletionResult | queue.SimpleQueue[MetricsSnapshot] | None
    ] = queue.Queue(MAX_QUEUED_RESULTS)
    self._histogram_by_key: dict[HistogramKey, histogram.HdrHistogram] = {}
    self._count_by_outcome: dict[str, int] = {}
    self._dropped = 0
    self._dropped_sent = 0
    self._thread = threading.Thread(
        target=self._run, name='metrics', daemon=True
    )

  def start(self) -> None:
    """Starts the thread."""
    self._thread.start()

  def stop(self) -> None:
    """Stops the thread after it has processed the queue."""
    self._inbox.put(None)
    self._thread.join()

  def record_result(self, result: completions.CompletionResult) -> None:
    """Queues a result, or drops it if the queue is full; never blocks."""
    try:
      self._inbox.put_nowait(result)
    except queue.Full:
      self._dropped += 1

  def snapshot(self) -> MetricsSnapshot:
    """Returns the current values of all histograms."""
    reply: queue.SimpleQueue[MetricsSnapshot] = queue.SimpleQueue()
    self._inbox.put(reply)
    return reply.get()

  def _run(self) -> None:
    while True:
      item = self._inbox.get()
      if item is None:
        return
      if isinstance(item, completions.CompletionResult):
        self._record(item)
        continue
      item.put(self._build_snapshot())

  def _record(self, result: completions.CompletionResult) -> None:
    request = result.request
    labels = f'{request.tenant}.{request.rank}'
    outcomes = self._count_by_outcome
    outcomes[result.outcome] = outcomes.get(result.outcome, 0) + 1
    self._count_dropped()
    self._count(f'{METRIC_REQUESTS}.{labels}.{result.outcome}', 1)
    self._count(f'{METRIC_ATTEMPTS}.{labels}', result.attempts)
    self._count(f'{METRIC_TOKENS}.{labels}', result.tokens)
    if result.first_token_s > 0:
      self._time(METRIC_FIRST_TOKEN, request, result.first_token_s)
    if result.outcome == 'whole':
      self._time(METRIC_TOTAL, request, result.total_s)
    if result.tokens > 1:
      stream_s = result.total_s - result.first_token_s
      between_s = stream_s / (result.tokens - 1)
      self._time(METRIC_BETWEEN_TOKENS, request, between_s)

  def _count_dropped(self) -> None:
    dropped = self._dropped
    self._count(METRIC_DROPPED, dropped - self._dropped_sent)
    self._dropped_sent = dropped

  def _count(self, name: str, count: int) -> None:
    if self._client is not None and count:
      self._client.incr(name, count)

  def _time(self, metric: str, request: object, value_s: float) -> None:
    key = HistogramKey(metric, request.tenant, request.rank)
    value_ms = value_s * 1000
    if self._client is not None:
      self._client.timing(f'{metric}.{key.tenant}.{key.rank}', value_ms)
    known = self._histogram_by_key.get(key)
    if known is None:
      known = histogram.HdrHistogram(
          MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_FIGURES
      )
      self._histogram_by_key[key] = known
    known.record_value(
        min(max(round(value_ms), MIN_LATENCY_MS), MAX_LATENCY_MS)
    )

  def _build_snapshot(self) -> MetricsSnapshot:
    snapshots = []
    for key, known in sorted(self._histogram_by_key.items()):
      snapshots.append(
          HistogramSnapshot(
              key,
              known.get_total_count(),
              known.get_value_at_percentile(50),
              known.get_value_at_percentile(95),
              known.get_value_at_percentile(99),
              known.encode().decode('ascii'),
          )
      )
    return MetricsSnapshot(
        tuple(snapshots), dict(self._count_by_outcome), self._dropped
    )
