"""Compares placement policies on recorded load, in simulated time.

    python -m standins.replay_trial --plot out/flood.svg

Prints the share of the total value of all requests that each policy earned, by
rank, host, second and size of the prompt. A host learns about the work that
other hosts placed every `--lag-ms`, as gateways do.
"""

import abc
import pathlib
import random
from collections.abc import Callable
from typing import NamedTuple

import click

from mulberrypick.core import endpoint_limits
from mulberrypick.core import endpoint_registry
from mulberrypick.core import engine_load
from mulberrypick.core import gateway_records
from mulberrypick.core import permits
from mulberrypick.core import placements
from mulberrypick.core import request_placement
from standins import replay
from standins import replay_plot

FLOOD_REPLAY = pathlib.Path(__file__).parent / 'replays' / 'zagovina-flood.txt'
PEER_LAG_S = 0.02
# Prompts by which hosts know the speed of an engine when the flood begins, and
# their tokens.
LEARNED_PROMPTS = 30
LEARNED_TOKENS = (500, 5_000, 20_000)
SERVICE = gateway_records.Service(
    'engine', 300, replay.ENGINE_MEMORY_TOKENS, 64
)
# Prompts are grouped by size into this many groups of about equal number.
SIZE_GROUP_COUNT = 5


class Outcome(NamedTuple):
  """Result of one request.

  Attributes:
    arrival: The request.
    status: `in time`, `late`, `refused` or `lost`.
    worth: Value that the request earned.
    max_worth: Value that it would have earned in time.
    first_s: Time to its first event, or 0 without one.
  """

  arrival: replay.Arrival
  status: str
  worth: float
  max_worth: float
  first_s: float


class Policy(abc.ABC):
  """Places the requests of one host."""

  def __init__(self, recorded: replay.Replay, host: str):
    self.registry = endpoint_registry.EndpointRegistry()
    self.registry.replace_all(recorded.endpoints, 0.0)
    self.load = engine_load.EngineLoad()
    self.limits = endpoint_limits.EndpointLimits()
    self.permits = permits.Permits(self.limits, random.Random(1))
    self.placer = request_placement.Placer(
        self.registry, self.load, random.Random(host), self.permits
    )
    for endpoint in recorded.endpoints:
      self._learn_speed(endpoint, recorded.prefill_rate_by_name[endpoint.name])

  def _learn_speed(
      self, endpoint: gateway_records.Endpoint, tokens_per_s: float
  ) -> None:
    """Learns an engine's speed as from the requests before the flood."""
    for number in range(LEARNED_PROMPTS):
      tokens = LEARNED_TOKENS[number % len(LEARNED_TOKENS)]
      took_s = replay.FIRST_EVENT_DELAY_S + tokens / tokens_per_s
      self.load.observe_prefill(endpoint, tokens, took_s, 0.0)

  @abc.abstractmethod
  def place(
      self, call: gateway_records.Call, now: float
  ) -> placements.Placement | placements.Refusal:
    """Places or refuses a request."""


class GatewayPolicy(Policy):
  """The policy of the gateway."""

  def place(
      self, call: gateway_records.Call, now: float
  ) -> placements.Placement | placements.Refusal:
    """Places or refuses a request."""
    return self.placer.place(call, SERVICE, set(), now)


class GatewayPolicyWithoutCaches(GatewayPolicy):
  """The policy of the gateway, without knowledge of the engines' caches."""

  def place(
      self, call: gateway_records.Call, now: float
  ) -> placements.Placement | placements.Refusal:
    """Places or refuses a request."""
    # One part for the whole prompt. Its key is negative, so that it differs
    # from the keys of all other parts.
    key = -call.fingerprint - 1
    whole = gateway_records.PromptPart(key, call.prompt_tokens)
    return super().place(call._replace(parts=(whole,)), now)


class LeastInFlight(Policy):
  """Places requests as they arrive, on engines with the fewest requests."""

  def place(
      self, call: gateway_records.Call, now: float
  ) -> placements.Placement | placements.Refusal:
    """Places or refuses a request."""
    prefillers, decoders = [], []
    for endpoint in self.registry.usable(call.service, now):
      is_prefiller = endpoint.stage is gateway_records.Stage.PREFILL
      (prefillers if is_prefiller else decoders).append(endpoint)

    def count(endpoint: gateway_records.Endpoint) -> int:
      return self.load.total(endpoint, now).count

    prefiller, decoder = min(prefillers, key=count), min(decoders, key=count)
    return placements.Placement(
        decoder, prefiller, call.prompt_tokens, 0, 0.0, False
    )


class RoundRobinPrefill(LeastInFlight):
  """Places requests as they arrive, on the prefill engines in turn."""

  def place(
      self, call: gateway_records.Call, now: float
  ) -> placements.Placement | placements.Refusal:
    """Places or refuses a request."""
    placement = super().place(call, now)
    prefillers = []
    for endpoint in self.registry.usable(call.service, now):
      if endpoint.stage is gateway_records.Stage.PREFILL:
        prefillers.append(endpoint)
    number = int(call.id.removeprefix('r'))
    return placement._replace(prefiller=prefillers[number % len(prefillers)])


POLICY_BY_NAME: dict[str, type[Policy]] = {
    'own': GatewayPolicy,
    'no caches': GatewayPolicyWithoutCaches,
    'least in flight': LeastInFlight,
    'by turns': RoundRobinPrefill,
}


class Trial:
  """Runs one policy on one replay."""

  def __init__(
      self,
      recorded: replay.Replay,
      policy: type[Policy],
      lag_s: float = PEER_LAG_S,
  ):
    self._replay = recorded
    self._clock = replay.Clock()
    self._lag_s = lag_s
    self._engine_by_name = {}
    for endpoint in recorded.endpoints:
      rate = recorded.prefill_rate_by_name[endpoint.name]
      engine = replay.Engine(self._clock, endpoint, rate)
      self._engine_by_name[endpoint.name] = engine
    self._host_by_name: dict[str, Policy] = {}
    for arrival in recorded.arrivals:
      if arrival.host not in self._host_by_name:
        self._host_by_name[arrival.host] = policy(recorded, arrival.host)
    self._outcomes: list[Outcome] = []

  def run(self) -> list[Outcome]:
    """Runs all arrivals to their end, and returns their outcomes."""
    for number, arrival in enumerate(self._replay.arrivals):
      self._clock.call_at(
          arrival.at_s, lambda n=number, a=arrival: self._on_arrival(n, a)
      )
    last_at = self._replay.arrivals[-1].at_s
    at_s = 0.0
    while at_s < last_at:
      self._clock.call_at(at_s, self._exchange_loads)
      at_s += self._lag_s
    self._clock.run()
    return self._outcomes

  def _exchange_loads(self) -> None:
    now = self._clock.now
    for name, host in self._host_by_name.items():
      load_by_endpoint = host.load.own_loads(now)
      speeds = host.load.models.sums_to_send((), now)
      for other_name, other in self._host_by_name.items():
        if other_name != name:
          other.load.update_peer(name, load_by_endpoint, now)
          other.load.models.update_peer(name, speeds, now)

  def _on_arrival(self, number: int, arrival: replay.Arrival) -> None:
    now = self._clock.now
    work_class = self._replay.class_by_rank[arrival.rank]
    call = _make_call(number, arrival, work_class)
    host = self._host_by_name[arrival.host]
    placement = host.place(call, now)
    if isinstance(placement, placements.Refusal):
      self._add_outcome(arrival, 'refused')
      return
    if placement.prefiller is None:
      self._start_prefill(
          call,
          arrival,
          host,
          placement,
          placement.endpoint,
          self._finish_answer,
      )
      return
    self._start_prefill(
        call, arrival, host, placement, placement.prefiller, self._start_decode
    )

  def _start_prefill(
      self,
      call: gateway_records.Call,
      arrival: replay.Arrival,
      host: Policy,
      placement: placements.Placement,
      engine_endpoint: gateway_records.Endpoint,
      on_prefilled: Callable[..., None],
  ) -> None:
    engine = self._engine_by_name[engine_endpoint.name]
    if not engine.try_reserve():
      self._add_outcome(arrival, 'refused')
      return
    started_at = self._clock.now
    own_load = host.load.own(engine_endpoint)
    own_load.count += 1
    read = placements.make_read(call, placement, started_at)
    own_load.reads.add(id(arrival), read)
    for other in self._host_by_name.values():
      cache = other.load.own(engine_endpoint).cache
      for part in call.parts:
        cache.store(part.key, part.tokens, started_at)

    def on_done(is_prefilled: bool) -> None:
      engine.reserved_places -= 1
      own_load.count -= 1
      own_load.reads.remove(id(arrival))
      if not is_prefilled:
        self._add_outcome(arrival, 'lost')
        return
      took_s = self._clock.now - started_at
      host.load.observe_prefill(
          engine_endpoint, placement.tokens_ahead, took_s, self._clock.now
      )
      on_prefilled(call, arrival, host, placement)

    engine.prefill(arrival, lambda: self._clock.now < call.deadline_at, on_done)

  def _start_decode(
      self,
      call: gateway_records.Call,
      arrival: replay.Arrival,
      host: Policy,
      placement: placements.Placement,
  ) -> None:
    engine = self._engine_by_name[placement.endpoint.name]
    if not engine.try_reserve():
      self._add_outcome(arrival, 'refused')
      return
    own_load = host.load.own(placement.endpoint)
    slot_quarters = placements.decode_slot_quarters(call, True)
    own_load.count += 1
    own_load.decoding += slot_quarters

    def on_answer_done() -> None:
      own_load.count -= 1
      own_load.decoding -= slot_quarters
      engine.reserved_places -= 1
      self._finish_answer(call, arrival, host, placement)

    work_class = self._replay.class_by_rank[arrival.rank]
    took_s = (
        replay.KV_TRANSFER_S + work_class.output_tokens * replay.DECODE_TOKEN_S
    )
    self._clock.call_at(self._clock.now + took_s, on_answer_done)

  def _finish_answer(
      self,
      call: gateway_records.Call,
      arrival: replay.Arrival,
      host: Policy,
      placement: placements.Placement,
  ) -> None:
    del call, host, placement
    first_s = self._clock.now - arrival.at_s
    work_class = self._replay.class_by_rank[arrival.rank]
    if first_s > arrival.deadline_s:
      self._add_outcome(arrival, 'lost')
    elif first_s > work_class.target_s:
      self._add_outcome(arrival, 'late', work_class.late_worth, first_s)
    else:
      self._add_outcome(arrival, 'in time', work_class.worth, first_s)

  def _add_outcome(
      self,
      arrival: replay.Arrival,
      status: str,
      worth: float = 0.0,
      first_s: float = 0.0,
  ) -> None:
    max_worth = self._replay.class_by_rank[arrival.rank].worth
    self._outcomes.append(Outcome(arrival, status, worth, max_worth, first_s))


def _make_call(
    number: int, arrival: replay.Arrival, work_class: replay.WorkClass
) -> gateway_records.Call:
  route = gateway_records.Route(
      name=f'rank-{arrival.rank}',
      hostname='h',
      path_prefix='/',
      kind=gateway_records.CallKind.STREAM,
      timeout_s=arrival.deadline_s,
      target_s=work_class.target_s,
      rank=arrival.rank,
      share_by_service={'engine': 1},
      attempts=1,
      is_resumable=False,
  )
  return gateway_records.Call(
      id=f'r{number}',
      route=route,
      service='engine',
      parts=arrival.parts,
      prompt_tokens=arrival.prompt_tokens,
      output_tokens=arrival.max_output_tokens,
      fingerprint=number,
      arrived_at=arrival.at_s,
      deadline_at=arrival.at_s + arrival.deadline_s,
  )


def earned(outcomes: list[Outcome]) -> float:
  """Returns the share of the maximum value that was earned."""
  max_worth = sum(item.max_worth for item in outcomes)
  return sum(item.worth for item in outcomes) / max_worth if max_worth else 0.0


def group(
    outcomes: list[Outcome], key: Callable[[Outcome], str]
) -> dict[str, list[Outcome]]:
  """Groups outcomes by a key, sorted by it."""
  by_key: dict[str, list[Outcome]] = {}
  for item in outcomes:
    by_key.setdefault(key(item), []).append(item)
  return dict(sorted(by_key.items()))


def size_key(outcomes: list[Outcome]) -> Callable[[Outcome], str]:
  """Returns the key that groups outcomes by the size of their prompt."""
  sizes = sorted(item.arrival.prompt_tokens for item in outcomes)
  bounds = []
  for number in range(1, SIZE_GROUP_COUNT):
    bounds.append(sizes[number * len(sizes) // SIZE_GROUP_COUNT])

  def key(item: Outcome) -> str:
    part = sum(item.arrival.prompt_tokens >= bound for bound in bounds)
    return f'size {part + 1} of {SIZE_GROUP_COUNT}'

  return key


def format_report(outcomes_by_policy: dict[str, list[Outcome]]) -> str:
  """Formats a table with a column per policy and a line per group."""
  names = list(outcomes_by_policy)
  keys: list[Callable[[Outcome], str]] = [
      lambda item: 'all',
      lambda item: f'rank {item.arrival.rank}',
      lambda item: item.arrival.host,
      lambda item: f'second {int(item.arrival.at_s)}',
      size_key(outcomes_by_policy[names[0]]),
  ]
  lines = [f'{"earned of what it is worth":28}' + _cells(names)]
  for key in keys:
    groups = [group(outcomes, key) for outcomes in outcomes_by_policy.values()]
    for name in groups[0]:
      values = [
          f'{earned(outcomes_by_name[name]):.3f}' for outcomes_by_name in groups
      ]
      lines.append(f'{name:28}' + _cells(values))
  for status in ('in time', 'late', 'refused', 'lost'):
    counts = []
    for outcomes in outcomes_by_policy.values():
      counts.append(str(sum(item.status == status for item in outcomes)))
    lines.append(f'{status:28}' + _cells(counts))
  return '\n'.join(lines)


def _cells(values: list[str]) -> str:
  return ''.join(value.rjust(17) for value in values)


def earned_by_step(outcomes: list[Outcome], step_s: float) -> list[float]:
  """Returns the share of the value that was earned in each time step."""
  groups: dict[int, list[Outcome]] = {}
  for item in outcomes:
    groups.setdefault(int(item.arrival.at_s / step_s), []).append(item)
  return [earned(groups.get(n, [])) for n in range(max(groups) + 1)]


@click.command()
@click.option(
    '--replay',
    'path',
    default=str(FLOOD_REPLAY),
    help='File with the recorded load.',
)
@click.option(
    '--lag-ms',
    default=PEER_LAG_S * 1000,
    help="Interval at which hosts learn each other's load, in milliseconds.",
)
@click.option(
    '--plot', default='', help='SVG file to write a plot to; empty for no plot.'
)
def main(path: str, lag_ms: float, plot: str):
  """Runs all policies on a replay, and prints the value that each earned."""
  try:
    recorded = replay.read_replay(pathlib.Path(path))
  except (OSError, replay.ReplayError) as error:
    raise click.ClickException(str(error)) from error
  outcomes_by_policy = {}
  for name, policy in POLICY_BY_NAME.items():
    trial = Trial(recorded, policy, lag_ms / 1000)
    outcomes_by_policy[name] = trial.run()
  click.echo(format_report(outcomes_by_policy))
  if not plot:
    return
  step_s = 0.1
  lines = {}
  for name, outcomes in outcomes_by_policy.items():
    lines[name] = earned_by_step(outcomes, step_s)
  pathlib.Path(plot).parent.mkdir(parents=True, exist_ok=True)
  pathlib.Path(plot).write_text(
      replay_plot.draw(lines, step_s, 'earned of what it is worth')
  )


if __name__ == '__main__':
  main()
