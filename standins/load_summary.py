"""Results of a load run, and summaries of them by rank or tenant."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from hdrh import histogram

OUTCOME_WHOLE = 'whole'
OUTCOME_CUT = 'cut'
OUTCOME_WRONG = 'wrong'
OUTCOME_REFUSED = 'refused'
OUTCOME_FAILED = 'failed'

MICROSECONDS_PER_S = 1_000_000
MAX_RECORDED_US = 3600 * MICROSECONDS_PER_S
SIGNIFICANT_DIGITS = 3


class Result(NamedTuple):
  """Result of one request; times count from its planned arrival.

  Attributes:
    number: Index in the plan.
    work_class: Name of its class.
    tenant: Name of the tenant.
    rank: Name of the rank.
    at_s: Planned arrival, in seconds after the start.
    late_s: Delay between the planned arrival and the sending.
    outcome: One of the `OUTCOME_` constants.
    status: HTTP status, 0 if there was none.
    kind: Type name of the refusal or error, empty if there was none.
    run: What the refusal says about the execution.
    retry_after_s: Value of `Retry-After`, 0 if there was none.
    first_token_s: Time to the first token, 0 if there was none.
    total_s: Time to the end.
    gaps_s: Times between consecutive tokens.
    tokens: Number of correct tokens received.
    is_in_time: Whether the whole answer arrived within its deadline and
      latency targets.
  """

  number: int
  work_class: str
  tenant: str
  rank: str
  at_s: float
  late_s: float
  outcome: str
  status: int
  kind: str
  run: str
  retry_after_s: float
  first_token_s: float
  total_s: float
  gaps_s: tuple[float, ...]
  tokens: int
  is_in_time: bool


class Percentiles(NamedTuple):
  """Percentiles of a duration, in seconds; all 0 without a value."""

  p50_s: float
  p95_s: float
  p99_s: float


class Summary(NamedTuple):
  """Aggregate of a set of results.

  Attributes:
    requests: Number of requests.
    count_by_outcome: Number of requests by outcome.
    count_by_kind: Number of requests by type name of the refusal or error.
    in_time: Number of complete answers within deadline and latency targets.
    goodput_per_s: Those answers per second of the run.
    goodput_tokens_per_s: Tokens of those answers per second of the run.
    first_token: Percentiles of the time to the first token.
    between_tokens: Percentiles of the time between consecutive tokens.
    refusal: Percentiles of the time to a refusal.
    late: Percentiles of the delay between planned arrival and sending, which is
      caused by the load tool itself.
  """

  requests: int
  count_by_outcome: dict[str, int]
  count_by_kind: dict[str, int]
  in_time: int
  goodput_per_s: float
  goodput_tokens_per_s: float
  first_token: Percentiles
  between_tokens: Percentiles
  refusal: Percentiles
  late: Percentiles


def summarize(results: Iterable[Result], duration_s: float) -> Summary:
  """Aggregates results.

  Args:
    results: The results.
    duration_s: Length of the run, for the goodput.
  """
  results = list(results)
  outcomes = collections.Counter(r.outcome for r in results)
  in_time = [r for r in results if r.is_in_time]
  refused = [r for r in results if r.outcome == OUTCOME_REFUSED]
  return Summary(
      len(results),
      dict(outcomes),
      dict(collections.Counter(r.kind for r in results if r.kind)),
      len(in_time),
      len(in_time) / duration_s,
      sum(r.tokens for r in in_time) / duration_s,
      percentiles(r.first_token_s for r in results if r.first_token_s),
      percentiles(gap_s for r in results for gap_s in r.gaps_s),
      percentiles(r.total_s for r in refused),
      percentiles(r.late_s for r in results),
  )


def summarize_by(
    field: str, results: Iterable[Result], duration_s: float
) -> dict[str, Summary]:
  """Aggregates results by the value of a field, such as `rank` or `tenant`."""
  results_by_value = collections.defaultdict(list)
  for result in results:
    results_by_value[getattr(result, field)].append(result)
  return {
      value: summarize(group, duration_s)
      for value, group in sorted(results_by_value.items())
  }


def percentiles(values_s: Iterable[float]) -> Percentiles:
  """Returns percentiles of durations in seconds."""
  recorded = histogram.HdrHistogram(1, MAX_RECORDED_US, SIGNIFICANT_DIGITS)
  for value_s in values_s:
    recorded.record_value(max(1, int(value_s * MICROSECONDS_PER_S)))
  if not recorded.get_total_count():
    return Percentiles(0.0, 0.0, 0.0)
  return Percentiles(
      *(
          recorded.get_value_at_percentile(percentile) / MICROSECONDS_PER_S
          for percentile in (50, 95, 99)
      )
  )


def format_table(summary_by_name: dict[str, Summary]) -> str:
  """Formats summaries as a table with one row per name."""
  head = ('name', 'requests', 'whole', 'cut', 'wrong', 'refused', 'failed')
  head += ('in time', 'goodput/s', 'first p50', 'p95', 'gap p95')
  rows = [head]
  for name, summary in summary_by_name.items():
    counts = [
        summary.count_by_outcome.get(outcome, 0)
        for outcome in (
            OUTCOME_WHOLE,
            OUTCOME_CUT,
            OUTCOME_WRONG,
            OUTCOME_REFUSED,
            OUTCOME_FAILED,
        )
    ]
    rows.append(
        (
            name,
            str(summary.requests),
            *map(str, counts),
            str(summary.in_time),
            f'{summary.goodput_per_s:.2f}',
            f'{summary.first_token.p50_s * 1000:.0f} ms',
            f'{summary.first_token.p95_s * 1000:.0f} ms',
            f'{summary.between_tokens.p95_s * 1000:.0f} ms',
        )
    )
  widths = [max(map(len, column)) for column in zip(*rows, strict=True)]
  lines = []
  for row in rows:
    cells = [cell.rjust(w) for cell, w in zip(row[1:], widths[1:], strict=True)]
    lines.append('  '.join([row[0].ljust(widths[0]), *cells]))
  return '\n'.join(lines)
