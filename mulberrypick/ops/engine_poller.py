"""Polls engines for load reports and cache events on a thread pool.

In each zone, one entry polls an engine and sends the result to the other
entries. Rendezvous hashing over the zone's entries selects it, once for each
list of hosts. An engine without a recent report is polled by all entries.
"""

import concurrent.futures
import time
from typing import Any
from typing import NamedTuple

from mulberrypick.adapters import engine as engine_adapter
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import rendezvous

POLL_THREADS = 8
# Maximum number of stored, and of evicted, cache blocks per message; if a burst
# has more, the oldest are dropped.
MAX_CACHE_BLOCKS = 128


class _CacheRead(NamedTuple):
  """Events read from one engine.

  Attributes:
    key: Key of the engine process.
    last_number: Number of the last event.
    seen: The events.
  """

  key: str
  last_number: int
  seen: messages.CacheSeen


class EnginePoller:
  """Polls engines for one task; its threads only run the calls to engines."""

  def __init__(self, own_name: str, engine: engine_adapter.Engine):
    """Initializes a poller without engines.

    Args:
      own_name: Name of this entry host.
      engine: Client for engines.
    """
    self._own_name = own_name
    self._engine = engine
    self._engines: list[records.Host] = []
    self._own_engines: list[records.Host] = []
    self._report_at_by_endpoint: dict[str, float] = {}
    self._event_number_by_endpoint: dict[str, int] = {}
    self._pool = concurrent.futures.ThreadPoolExecutor(
        POLL_THREADS, 'engine-poll'
    )

  def stop(self) -> None:
    """Stops the threads; calls in progress end by their timeouts."""
    self._pool.shutdown(wait=False, cancel_futures=True)

  def assign(
      self, hosts: tuple[records.Host, ...], zone_entries: list[str]
  ) -> None:
    """Determines which engines this entry polls.

    Args:
      hosts: The current list of hosts.
      zone_entries: Names of the live entries of the zone, this one included.
    """
    self._engines = [host for host in hosts if host.kind == records.HOST_ENGINE]
    self._own_engines = []
    for host in self._engines:
      pollers = rendezvous.rank(f'report/{host.name}', zone_entries)
      if pollers[0] == self._own_name:
        self._own_engines.append(host)
    names = {host.name for host in self._engines}
    self._report_at_by_endpoint = _keep_keys(self._report_at_by_endpoint, names)
    keys = {_incarnation_key(host) for host in self._engines}
    self._event_number_by_endpoint = _keep_keys(
        self._event_number_by_endpoint, keys
    )

  def record_reports(self, reports: tuple[records.EngineReport, ...]) -> None:
    """Records when a report of each engine arrived, directly or from a peer."""
    now = time.monotonic()
    for report in reports:
      self._report_at_by_endpoint[report.endpoint] = now

  def poll_loads(
      self, silence_s: float, timeout_s: float
  ) -> tuple[records.EngineReport, ...]:
    """Polls the engines assigned to this entry and those without a report.

    Args:
      silence_s: Time without a report after which all entries poll an engine.
      timeout_s: Time limit for the replies; later ones are dropped.

    Returns:
      The reports received in time.
    """
    silent_at = time.monotonic() - silence_s
    heard_at = self._report_at_by_endpoint
    silent = [
        host
        for host in self._engines
        if heard_at.get(host.name, 0.0) < silent_at
    ]
    polled = {host.name: host for host in self._own_engines + silent}
    polls = [
        self._pool.submit(self._engine.read_load, host.name, host.address)
        for host in polled.values()
    ]
    return tuple(_collect_results(polls, timeout_s))

  def poll_caches(self, timeout_s: float) -> tuple[messages.CacheSeen, ...]:
    """Reads new cache events of the engines assigned to this entry.

    Args:
      timeout_s: Time limit for the replies. The events of later ones are read
        again by the next poll.

    Returns:
      The events of engines that had any.
    """
    polls = [
        self._pool.submit(self._read_cache, host) for host in self._own_engines
    ]
    all_seen = []
    for read in _collect_results(polls, timeout_s):
      if read is None:
        continue
      self._event_number_by_endpoint[read.key] = read.last_number
      all_seen.append(read.seen)
    return tuple(all_seen)

  @property
  def own_engine_count(self) -> int:
    """Number of engines assigned to this entry."""
    return len(self._own_engines)

  def _read_cache(self, host: records.Host) -> _CacheRead | None:
    key = _incarnation_key(host)
    after = self._event_number_by_endpoint.get(key, 0)
    events = self._engine.read_cache_events(host.name, host.address, after)
    if not events:
      return None
    stored = [event.block for event in events if event.is_stored]
    evicted = [event.block for event in events if not event.is_stored]
    seen = messages.CacheSeen(
        host.name,
        tuple(stored[-MAX_CACHE_BLOCKS:]),
        tuple(evicted[-MAX_CACHE_BLOCKS:]),
    )
    return _CacheRead(key, events[-1].number, seen)


def _incarnation_key(host: records.Host) -> str:
  """Returns the key of an engine process; its event numbers restart with it."""
  return f'{host.name}/{host.incarnation}'


def _keep_keys(value_by_key: dict[str, Any], keys: set[str]) -> dict[str, Any]:
  return {key: value for key, value in value_by_key.items() if key in keys}


def _collect_results(
    polls: list[concurrent.futures.Future], timeout_s: float
) -> list[Any]:
  """Returns the results available in time, without failed calls."""
  done, _ = concurrent.futures.wait(polls, timeout_s)
  return [poll.result() for poll in done if poll.exception() is None]
