"""Recorded load, and simulated engines that serve it.

A replay is a text file with the classes of requests and their value, the
engines, and one line for each prompt that reached a host. An engine prefills
one prompt at a time, the most urgent first, skips the parts that are in its
cache, and refuses requests when all its places are taken. The model is coarse:
decode steps and transfers take fixed times, and prompts are not split into
chunks. Final figures come from the users' bench.
"""

import heapq
import pathlib
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import part_cache

# Time from the end of a prefill to its first event, during which the engine
# prefills the next prompt. The users state 5.9 ms.
FIRST_EVENT_DELAY_S = 0.006
# Time to move a prefilled request to another engine. The users state 0.4 ms
# and 2 ms per transfer.
KV_TRANSFER_S = 0.004
# Time to decode one token.
DECODE_TOKEN_S = 0.00064
# Number of requests that an engine accepts, as a multiple of those that it runs
# at a time.
PLACES_PER_SLOT = 4
# KV cache memory of an engine.
ENGINE_MEMORY_TOKENS = 1_734_144


class WorkClass(NamedTuple):
  """Value of the requests of one rank.

  Attributes:
    rank: The rank.
    target_s: Target of the time to the first event.
    worth: Value of a request that meets the target.
    late_worth: Value of one that misses the target but not its deadline.
    output_tokens: Tokens of the answer.
  """

  rank: int
  target_s: float
  worth: float
  late_worth: float
  output_tokens: int


class Arrival(NamedTuple):
  """A prompt that reaches a host.

  Attributes:
    at_s: Time of arrival, from the start of the replay.
    host: Name of the host.
    rank: Rank of the request.
    deadline_s: How long its caller waits.
    prompt_tokens: Tokens of the prompt.
    max_output_tokens: Limit on the tokens of the answer, set by the caller.
    parts: Parts of the prompt.
  """

  at_s: float
  host: str
  rank: int
  deadline_s: float
  prompt_tokens: int
  max_output_tokens: int
  parts: tuple[gateway_records.PromptPart, ...]


class Replay(NamedTuple):
  """A recorded load.

  Attributes:
    class_by_rank: Class of the requests of each rank.
    endpoints: The engines.
    prefill_rate_by_name: Tokens per second that each engine prefills.
    arrivals: The prompts, earliest first.
  """

  class_by_rank: dict[int, WorkClass]
  endpoints: list[gateway_records.Endpoint]
  prefill_rate_by_name: dict[str, float]
  arrivals: list[Arrival]


class ReplayError(Exception):
  """A line of a replay file is malformed."""


def read_replay(path: pathlib.Path) -> Replay:
  """Reads a replay file.

  Raises:
    ReplayError: A line is malformed.
  """
  parsed = Replay({}, [], {}, [])
  for number, line in enumerate(path.read_text().splitlines(), 1):
    if not line or line.startswith('#'):
      continue
    try:
      _parse_line(parsed, line.split())
    except (ValueError, IndexError) as error:
      raise ReplayError(f'line {number} of "{path}": {error}') from error
  return parsed


def _parse_line(parsed: Replay, words: list[str]) -> None:
  if words[0] == 'class':
    rank = int(words[1])
    parsed.class_by_rank[rank] = WorkClass(
        rank, *map(float, words[2:5]), int(words[5])
    )
    return
  if words[0] == 'engine':
    _, name, stage, rate, slots = words
    parsed.endpoints.append(
        gateway_records.Endpoint(
            name=name,
            started_ms=1,
            service='engine',
            ip='127.0.0.1',
            port=1,
            zone='zone',
            slots=int(slots),
            is_leaving=False,
            stage=gateway_records.Stage(stage),
        )
    )
    parsed.prefill_rate_by_name[name] = float(rate)
    return
  at_s, host, rank, deadline_s, prompt, output, listed = words
  parts = []
  for item in listed.split(','):
    key, _, tokens = item.partition(':')
    parts.append(gateway_records.PromptPart(int(key, 16), int(tokens)))
  parsed.arrivals.append(
      Arrival(
          float(at_s),
          host,
          int(rank),
          float(deadline_s),
          int(prompt),
          int(output),
          tuple(parts),
      )
  )


class Clock:
  """Simulated clock with scheduled calls."""

  def __init__(self):
    self.now = 0.0
    self._count = 0
    self._events: list[tuple[float, int, Callable[[], None]]] = []

  def call_at(self, at_s: float, call: Callable[[], None]) -> None:
    """Schedules a call."""
    self._count += 1
    heapq.heappush(self._events, (at_s, self._count, call))

  def run(self) -> None:
    """Makes all scheduled calls, in the order of their time."""
    while self._events:
      self.now, _, call = heapq.heappop(self._events)
      call()


class Engine:
  """A simulated engine of a replay."""

  def __init__(
      self, clock: Clock, endpoint: gateway_records.Endpoint, rate: float
  ):
    self._clock = clock
    self._prefill_rate = rate
    self._max_places = PLACES_PER_SLOT * endpoint.slots
    self._cache = part_cache.PartCache()
    self._cache.set_memory(ENGINE_MEMORY_TOKENS)
    self._waiting: list[tuple[int, int, Callable[[bool], None], tuple]] = []
    self._is_prefilling = False
    self._count = 0
    self.reserved_places = 0

  def try_reserve(self) -> bool:
    """Reserves a place for a request; returns whether one was free."""
    if self.reserved_places >= self._max_places:
      return False
    self.reserved_places += 1
    return True

  def prefill(
      self,
      arrival: Arrival,
      is_wanted: Callable[[], bool],
      on_done: Callable[[bool], None],
  ) -> None:
    """Queues a prompt for prefill.

    Args:
      arrival: The prompt.
      is_wanted: Returns whether its caller still waits.
      on_done: Called at the end with whether the prompt was prefilled.
    """
    self._count += 1
    work = (is_wanted, arrival.parts)
    heapq.heappush(self._waiting, (arrival.rank, self._count, on_done, work))
    self._start_next()

  def _start_next(self) -> None:
    while self._waiting and not self._is_prefilling:
      _, _, on_done, (is_wanted, parts) = heapq.heappop(self._waiting)
      if not is_wanted():
        on_done(False)
        continue
      tokens = self._cache.uncached_tokens(parts)
      for part in parts:
        self._cache.store(part.key, part.tokens, self._clock.now)
      self._is_prefilling = True
      end_at = self._clock.now + tokens / self._prefill_rate
      self._clock.call_at(end_at, self._end_prefill)
      self._clock.call_at(
          end_at + FIRST_EVENT_DELAY_S, lambda d=on_done: d(True)
      )

  def _end_prefill(self) -> None:
    self._is_prefilling = False
    self._start_next()
