"""Recorded load, and engines that serve it in simulated time.

A replay is text: the classes of requests with their worth, the engines, and one
line for each prompt that reached a host. The engines read one prompt at a time,
the most urgent first, without the shared parts that they keep, and refuse what
they have no place for. It is coarse: steps, chunks and transfers are fixed
times. What counts is measured on the users' bench.
"""

import heapq
import pathlib
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.core import gateway_records
from mulberrypick.core import part_cache

# Fixed time from a prompt that is read to its first event, while the next one
# is read, and of handing it to another engine (s); from the users' page: 5.9 ms
# to a first event, 0.4 ms and 2 ms a transfer.
FIRST_EVENT_DELAY_S = 0.006
KV_TRANSFER_S = 0.004
# Time of one token of an answer (s).
DECODE_TOKEN_S = 0.00064
# Places for each request that an engine runs at a time.
PLACES_PER_SLOT = 4
# Memory of an engine (tokens).
ENGINE_MEMORY_TOKENS = 1_734_144


class WorkClass(NamedTuple):
  """What one rank of requests is worth.

  Attributes:
    rank: The rank.
    target_s: Time to the first event within which it is worth most.
    worth: What it is worth then.
    late_worth: What it is worth later, before its deadline.
    output_tokens: Tokens of its answer.
  """

  rank: int
  target_s: float
  worth: float
  late_worth: float
  output_tokens: int


class Arrival(NamedTuple):
  """A prompt that reaches a host.

  Attributes:
    at_s: When.
    host: Name of the host.
    rank: Its rank.
    deadline_s: How long its caller waits.
    prompt_tokens: Tokens to read.
    max_output_tokens: Tokens of the answer at most, as the caller says.
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
    class_by_rank: What requests are worth.
    endpoints: The engines.
    prefill_rate_by_name: Tokens that each reads a second.
    arrivals: The prompts, earliest first.
  """

  class_by_rank: dict[int, WorkClass]
  endpoints: list[gateway_records.Endpoint]
  prefill_rate_by_name: dict[str, float]
  arrivals: list[Arrival]


class ReplayError(Exception):
  """A replay is malformed."""


def read_replay(path: pathlib.Path) -> Replay:
  """Reads a replay.

  Raises:
    ReplayError: A line is malformed.
  """
  found = Replay({}, [], {}, [])
  for number, line in enumerate(path.read_text().splitlines(), 1):
    if not line or line.startswith('#'):
      continue
    try:
      _parse_line(found, line.split())
    except (ValueError, IndexError) as error:
      raise ReplayError(f'line {number} of "{path}": {error}') from error
  return found


def _parse_line(found: Replay, words: list[str]) -> None:
  if words[0] == 'class':
    rank = int(words[1])
    found.class_by_rank[rank] = WorkClass(
        rank, *map(float, words[2:5]), int(words[5])
    )
    return
  if words[0] == 'engine':
    _, name, stage, rate, slots = words
    found.endpoints.append(
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
    found.prefill_rate_by_name[name] = float(rate)
    return
  at_s, host, rank, deadline_s, prompt, output, listed = words
  parts = []
  for item in listed.split(','):
    key, _, tokens = item.partition(':')
    parts.append(gateway_records.PromptPart(int(key, 16), int(tokens)))
  found.arrivals.append(
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
  """Simulated time."""

  def __init__(self):
    self.now = 0.0
    self._count = 0
    self._events: list[tuple[float, int, Callable[[], None]]] = []

  def call_at(self, at_s: float, call: Callable[[], None]) -> None:
    """Has something done at a time."""
    self._count += 1
    heapq.heappush(self._events, (at_s, self._count, call))

  def run(self) -> None:
    """Goes on until nothing is due."""
    while self._events:
      self.now, _, call = heapq.heappop(self._events)
      call()


class Engine:
  """An engine of a replay."""

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
    """Takes a request in; returns whether there was a place."""
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
    """Reads a prompt, in its turn.

    Args:
      arrival: The prompt.
      is_wanted: Whether its caller still waits.
      on_done: Called with whether it was read.
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
