"""Workloads of the policy simulation, and summaries of its results.

A workload is a list of arrivals drawn from a fixed seed, so that all policies
get the same requests. Load is given in engine seconds per second: a load of
3.0 keeps about three engines busy.
"""

import random
from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import errors
from mulberrypick.core import records

SHARE_BY_TENANT = {
    'prevoz': 0.3,
    'kumamoto': 0.2,
    'saga': 0.2,
    'oita': 0.1,
    'yard': 0.1,
    'mill': 0.1,
}
FLOODING_TENANT = 'mill'
CRASHING_REQUEST_INTERVAL_S = 10.0
URGENT = records.Rank('urgent', True, 0.5, 0.1, 5.0, 0.5)
OTHER = records.Rank('other', False, 4.0, 0.2, 40.0, 0.3)


class Shape(NamedTuple):
  """A kind of request, defined by the lengths of its prompt and answer.

  Attributes:
    rank: Name of the rank.
    prompt_tokens: Mean tokens of the prompt.
    output_tokens: Mean tokens of the answer.
    engine_s: Approximate engine seconds that one request takes.
  """

  rank: str
  prompt_tokens: int
  output_tokens: int
  engine_s: float


QUESTION = Shape('urgent', 100, 24, 0.09)
SUMMARY = Shape('other', 3000, 60, 0.93)
GUIDE = Shape('other', 150, 230, 0.5)


class ArrivalStream(NamedTuple):
  """A Poisson stream of arrivals of one kind of request.

  Attributes:
    shape: The kind of request.
    load: Engine seconds of work that arrive per second.
    start_s: Time of its start.
    end_s: Time of its end.
    tenant: The tenant that sends all requests of the stream; if empty, all
      tenants send them in proportion to their shares.
  """

  shape: Shape
  load: float
  start_s: float
  end_s: float
  tenant: str = ''


class Arrival(NamedTuple):
  """A request, the length of its answer, and the entry host it goes to."""

  request: records.InferenceRequest
  length: int
  entry: int


def make_config() -> records.Config:
  """Returns the configuration that all workloads use."""
  tenant_by_name = {}
  for name, share in SHARE_BY_TENANT.items():
    tenant_by_name[name] = records.Tenant(name, share, (), (), '')
  return records.Config(
      1,
      {'m': records.Model('m', '1', (), 12)},
      {'urgent': URGENT, 'other': OTHER},
      {},
      tenant_by_name,
  )


def make_arrivals(
    streams: Iterable[ArrivalStream], entries: int, seed: int
) -> list[Arrival]:
  """Draws Poisson arrivals of several streams.

  Args:
    streams: The streams.
    entries: Number of entry hosts; each arrival goes to a random one.
    seed: Seed of the random number generator.

  Returns:
    The arrivals, earliest first.
  """
  rng = random.Random(seed)
  arrivals = []
  for number, stream in enumerate(streams):
    now = stream.start_s
    rate = stream.load / stream.shape.engine_s
    while rate > 0:
      now += rng.expovariate(rate)
      if now >= stream.end_s:
        break
      request_id = f's{number}-{len(arrivals)}'
      arrivals.append(_draw_arrival(stream, request_id, now, entries, rng))
  arrivals.sort(key=lambda a: a.request.arrived_at)
  return arrivals


def _draw_arrival(stream, request_id, now, entries, rng):
  shape = stream.shape
  tenant = stream.tenant
  if not tenant:
    names = list(SHARE_BY_TENANT)
    (tenant,) = rng.choices(names, list(SHARE_BY_TENANT.values()))
  rank = URGENT if shape.rank == 'urgent' else OTHER
  prompt = max(8, round(shape.prompt_tokens * rng.uniform(0.5, 1.5)))
  length = max(4, round(shape.output_tokens * rng.uniform(0.5, 1.5)))
  request = records.InferenceRequest(
      request_id,
      tenant,
      shape.rank,
      service_name(shape),
      'm',
      '',
      request_id,
      prompt,
      512,
      now,
      now + rank.deadline_s,
  )
  return Arrival(request, length, rng.randrange(entries))


def make_crashing_requests(start_s: float, end_s: float) -> list[Arrival]:
  """Makes requests that crash engines, one with a new prompt every 10 s."""
  arrivals = []
  now = start_s
  while now < end_s - CRASHING_REQUEST_INTERVAL_S:
    number = len(arrivals)
    request = records.InferenceRequest(
        f'crasher-{number}',
        FLOODING_TENANT,
        'other',
        'crasher',
        'm',
        '',
        f'crash=always {number}',
        200,
        64,
        now,
        now + OTHER.deadline_s,
    )
    arrivals.append(Arrival(request, 20, number % 3))
    now += CRASHING_REQUEST_INTERVAL_S
  return arrivals


class Outcome(NamedTuple):
  """Result of one request.

  Attributes:
    tenant: Tenant.
    rank: Rank.
    arrived_at: Time of its arrival.
    tokens: Tokens of its complete answer.
    first_token_s: Time to the first token, or None without one.
    total_s: Time to the end of the answer, or None if it is incomplete.
    error: The refusal, or None.
    refused_after_s: Time from the arrival to the refusal.
    generated_tokens: Tokens that engines generated for it in all attempts.
    engine_s: Approximate engine seconds that it takes.
  """

  tenant: str
  rank: str
  arrived_at: float
  tokens: int
  first_token_s: float | None
  total_s: float | None
  error: errors.RequestError | None
  refused_after_s: float
  generated_tokens: int
  engine_s: float

  def mean_between_tokens_s(self) -> float:
    """Returns the mean time between two tokens of a complete answer."""
    return (self.total_s - self.first_token_s) / max(1, self.tokens - 1)

  def meets_targets(self) -> bool:
    """Returns whether all targets of its rank were met."""
    if self.total_s is None or self.first_token_s is None:
      return False
    rank = URGENT if self.rank == 'urgent' else OTHER
    if self.first_token_s > rank.first_token_s:
      return False
    if self.mean_between_tokens_s() > rank.between_tokens_s:
      return False
    return self.total_s <= rank.deadline_s


def engine_seconds(service: str) -> float:
  """Returns the approximate engine seconds of a request of a service."""
  for shape in (QUESTION, SUMMARY, GUIDE):
    if service == service_name(shape):
      return shape.engine_s
  return 0.0


def service_name(shape: Shape) -> str:
  """Returns the name of the service that receives one kind of request."""
  return f'{shape.rank}-{shape.prompt_tokens}'


def percentile(values: list[float], percent: float) -> float:
  """Returns a percentile of unsorted values, or 0.0 if there are none."""
  if not values:
    return 0.0
  ordered = sorted(values)
  return ordered[min(len(ordered) - 1, int(len(ordered) * percent / 100))]


def percentiles(values: list[float]) -> str:
  """Returns p50, p95 and p99, separated by slashes."""
  parts = [f'{percentile(values, percent):.3f}' for percent in (50, 95, 99)]
  return '/'.join(parts)


def summarize(outcomes: list[Outcome], seconds: float) -> dict[str, object]:
  """Returns the figures of one run.

  Args:
    outcomes: One for each request that arrived in the measured period.
    seconds: Length of that period.

  Returns:
    The figures by name.
  """
  row = {}
  for rank in ('urgent', 'other'):
    of_rank = [o for o in outcomes if o.rank == rank]
    good = [o for o in of_rank if o.meets_targets()]
    complete = [o for o in of_rank if o.total_s is not None]
    row[f'{rank}_good_per_s'] = round(len(good) / seconds, 2)
    work_s = sum(o.engine_s for o in good)
    row[f'{rank}_good_engine_s'] = round(work_s / seconds, 2)
    row[f'{rank}_good'] = f'{len(good)}/{len(of_rank)}'
    first_token_s = [o.first_token_s for o in complete]
    row[f'{rank}_ttft'] = percentiles(first_token_s)
    row[f'{rank}_between'] = percentiles(
        [o.mean_between_tokens_s() for o in complete]
    )
  refused = [o for o in outcomes if o.error is not None]
  count_by_kind = {}
  for outcome in refused:
    kind = outcome.error.kind
    count_by_kind[kind] = count_by_kind.get(kind, 0) + 1
  row['refused'] = count_by_kind
  delays = [o.refused_after_s for o in refused]
  row['refusal_p99_s'] = round(percentile(delays, 99), 3)
  wasted = sum(o.generated_tokens for o in outcomes if not o.meets_targets())
  row['wasted_tokens'] = wasted
  late = [delay_s for delay_s in delays if delay_s > 0.05]
  row['refused_late'] = f'{len(late)}/{len(delays)}'
  for rank in ('urgent', 'other'):
    good_by_tenant = {}
    for name in SHARE_BY_TENANT:
      of_tenant = [o for o in outcomes if o.tenant == name and o.rank == rank]
      good = sum(1 for o in of_tenant if o.meets_targets())
      good_by_tenant[name] = f'{good}/{len(of_tenant)}'
    row[f'{rank}_by_tenant'] = good_by_tenant
  return row
