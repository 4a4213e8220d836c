"""Merges the status of all hosts into one report for operators.

The types list only those fields of `GET /status` that the report uses.
Histograms of all hosts are merged, so that percentiles are computed over all
requests and not averaged over hosts.
"""

from collections.abc import Iterable
from typing import Any
from typing import NamedTuple
from typing import TypedDict

from hdrh import histogram

MIN_LATENCY_MS = 1
MAX_LATENCY_MS = 3_600_000
SIGNIFICANT_FIGURES = 2
PERCENTILES = (50, 95, 99)


class EntryReport(TypedDict, total=False):
  """The fields of an entry's status page that the report uses."""

  name: str
  zone: str
  generation: int
  is_ready: bool
  is_draining: bool
  dispatcher: dict[str, Any]
  metrics: dict[str, Any]
  hosts: list[dict[str, Any]]


class ControllerReport(TypedDict, total=False):
  """The fields of a controller's status page that the report uses."""

  name: str
  zone: str
  is_holder: bool
  fence: int
  term_left_s: float
  generation: int
  drains: list[str]
  pending: list[str]
  engines: list[dict[str, Any]]


class MissingHost(NamedTuple):
  """A host that did not answer.

  Attributes:
    address: Address of the host, or the name of the platform.
    error: The error that occurred.
  """

  address: str
  error: str


class Latency(NamedTuple):
  """Percentiles of one latency histogram, merged over all entries.

  Attributes:
    metric: Name of the metric.
    tenant: Name of the tenant.
    rank: Name of the rank.
    count: Number of recorded values.
    p50_ms: Median in milliseconds.
    p95_ms: 95th percentile in milliseconds.
    p99_ms: 99th percentile in milliseconds.
  """

  metric: str
  tenant: str
  rank: str
  count: int
  p50_ms: int
  p95_ms: int
  p99_ms: int


class StatusReport(NamedTuple):
  """The state of the whole system, from all hosts that answered.

  Attributes:
    generation: Newest generation on the platform, -1 if it could not be read.
    operator: Name of the operator who applied it.
    drains: Endpoints that operators want drained.
    entries: Status of each entry that answered.
    controllers: Status of each controller that answered.
    latencies: Percentiles of the merged histograms.
    missing: Hosts, and possibly the platform, that did not answer.
  """

  generation: int
  operator: str
  drains: tuple[str, ...]
  entries: tuple[EntryReport, ...]
  controllers: tuple[ControllerReport, ...]
  latencies: tuple[Latency, ...]
  missing: tuple[MissingHost, ...]


def merge_latencies(entries: Iterable[EntryReport]) -> tuple[Latency, ...]:
  """Merges the histograms of all entries by metric, tenant and rank."""
  merged_by_key = {}
  for entry in entries:
    for shown in entry.get('metrics', {}).get('histograms', ()):
      key = shown['key']
      key = (key['metric'], key['tenant'], key['rank'])
      merged = merged_by_key.get(key)
      if merged is None:
        merged = histogram.HdrHistogram(
            MIN_LATENCY_MS, MAX_LATENCY_MS, SIGNIFICANT_FIGURES
        )
        merged_by_key[key] = merged
      merged.decode_and_add(shown['encoded'])
  return tuple(
      Latency(
          *key,
          merged.get_total_count(),
          *(int(merged.get_value_at_percentile(p)) for p in PERCENTILES),
      )
      for key, merged in sorted(merged_by_key.items())
  )


def format_status(report: StatusReport) -> str:
  """Formats the report as text for a terminal."""
  blocks = [
      _format_head(report),
      _format_entries(report),
      _format_controllers(report),
      _format_engines(report),
      _format_latencies(report),
      _format_missing(report),
  ]
  return '\n\n'.join(block for block in blocks if block)


def format_table(header: tuple[str, ...], rows: list[tuple]) -> str:
  """Formats rows as left-aligned columns under a header."""
  cells = [header, *(tuple(map(str, row)) for row in rows)]
  widths = [max(map(len, column)) for column in zip(*cells, strict=True)]
  lines = []
  for row in cells:
    line = '  '.join(
        cell.ljust(width) for cell, width in zip(row, widths, strict=True)
    )
    lines.append(line.rstrip())
  return '\n'.join(lines)


def _format_head(report: StatusReport) -> str:
  if report.generation < 0:
    text = 'configuration: unknown, the platform did not answer'
  else:
    by = f', applied by {report.operator}' if report.operator else ''
    text = f'configuration: generation {report.generation}{by}'
  if report.drains:
    text += f'\nto be drained: {", ".join(report.drains)}'
  return text


def _format_entries(report: StatusReport) -> str:
  rows = []
  for entry in report.entries:
    dispatcher = entry.get('dispatcher', {})
    generation = entry.get('generation', 0)
    behind = ' (behind)' if generation < report.generation else ''
    rows.append(
        (
            entry.get('name', ''),
            entry.get('zone', ''),
            _state_of(entry),
            f'{generation}{behind}',
            dispatcher.get('running', 0),
            sum(dispatcher.get('waiting_by_rank', {}).values()),
            dispatcher.get('quarantined', 0),
        )
    )
  header = (
      'entry',
      'zone',
      'state',
      'generation',
      'running',
      'waiting',
      'quarantined',
  )
  return format_table(header, sorted(rows)) if rows else ''


def _state_of(entry: EntryReport) -> str:
  if entry.get('is_draining'):
    return 'draining'
  return 'ready' if entry.get('is_ready') else 'not-ready'


def _format_controllers(report: StatusReport) -> str:
  rows = [
      (
          controller.get('name', ''),
          controller.get('zone', ''),
          'holder' if controller.get('is_holder') else 'standby',
          controller.get('fence', 0),
          f'{controller.get("term_left_s", 0.0):.1f}',
          ', '.join(controller.get('pending', ())) or '-',
      )
      for controller in report.controllers
  ]
  header = ('controller', 'zone', 'lease', 'fence', 'left_s', 'pending orders')
  return format_table(header, sorted(rows)) if rows else ''


def _format_engines(report: StatusReport) -> str:
  rows = []
  for controller in report.controllers:
    for engine in controller.get('engines', ()):
      state = engine['state']
      rows.append(
          (
              state['endpoint'],
              controller.get('zone', ''),
              state['role'],
              ', '.join(state['models']) or '-',
              state['running'],
              'draining' if state['is_draining'] else 'serving',
              engine.get('order_state', ''),
          )
      )
  header = ('engine', 'zone', 'role', 'models', 'running', 'state', 'order')
  return format_table(header, sorted(rows)) if rows else ''


def _format_latencies(report: StatusReport) -> str:
  rows = [tuple(latency) for latency in report.latencies]
  header = Latency._fields
  return format_table(header, rows) if rows else ''


def _format_missing(report: StatusReport) -> str:
  return '\n'.join(
      f'no answer from {missing.address}: {missing.error}'
      for missing in report.missing
  )
