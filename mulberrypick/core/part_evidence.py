"""Records which prompt parts were at endpoints when these crashed.

Hosts exchange this evidence, as requests with a part that crashes endpoints
come to any of them. What is known is the same whatever the order, path and
number of the reports.

An answer that was written to its end clears the parts of its request of all
crashes before it began. The reading of a prompt clears nothing: endpoints crash
when they begin to write.
"""

import collections
from collections.abc import Iterable
from typing import NamedTuple

from mulberrypick.core import crash_evidence
from mulberrypick.core import crashing_parts

# Crashes that are known; the oldest are dropped first.
MAX_CRASHES = 400
# Requests of one crash.
MAX_RUNS = 32
# Parts on which answers were written lately.
MAX_COMPLETED = 20_000
# Evidence is dropped after this time.
MAX_AGE_S = 600.0
# Uncertainty of the time at which an endpoint was alive.
ALIVE_MARGIN_S = 0.1
# An answer that may have been complete was ended by a crash only if nothing is
# known to have ended later than this after it.
DOUBT_S = 0.5


class Completion(NamedTuple):
  """An answer that was written to its end.

  Attributes:
    began_at: When it began.
    source: The host that reported it, `own` for this one.
  """

  began_at: float
  source: str


class EndedRun(NamedTuple):
  """A request that ran on an endpoint until it crashed.

  Attributes:
    request: Hash of the request.
    keys: Its parts without the last one.
    at: When its attempt ended.
    is_doubtful: Whether its answer may have been complete by then.
  """

  request: int
  keys: frozenset[int]
  at: float
  is_doubtful: bool = False


class EndpointCrash:
  """The crash of one incarnation of an endpoint.

  Attributes:
    key: The incarnation.
    run_by_request: The requests that ran there.
    source: The host that reported it first, `own` for this one.
    is_own: Whether an attempt of this host ended.
    disproved_at: Latest time at which the incarnation is known to have been
      alive, so that earlier ends of attempts were no crash.
    withdrawn_at: Requests that did not end by the crash, and the time up to
      which this holds.
  """

  def __init__(self, key: crash_evidence.IncarnationKey, source: str):
    self.key = key
    self.run_by_request: dict[int, EndedRun] = {}
    self.source = source
    self.is_own = False
    self.disproved_at = float('-inf')
    self.withdrawn_at: dict[int, float] = {}

  @property
  def began_at(self) -> float:
    """When the endpoint crashed."""
    certain = [r.at for r in self.run_by_request.values() if not r.is_doubtful]
    if certain:
      return min(certain)
    return max((r.at for r in self.run_by_request.values()), default=0.0)

  def runs(self) -> list[EndedRun]:
    """Returns the requests that the crash ended."""
    last_at = max((r.at for r in self.run_by_request.values()), default=0.0)
    runs = []
    for run in self.run_by_request.values():
      if not run.is_doubtful or run.at >= last_at - DOUBT_S:
        runs.append(run)
    return runs


class PartEvidence:
  """Crashes of endpoints, and parts on which answers were written."""

  def __init__(self):
    self._crash_by_key: dict[crash_evidence.IncarnationKey, EndpointCrash] = {}
    # Crashes of requests with a part.
    self._crashes_by_part: dict[int, dict[EndpointCrash, None]] = {}
    self._completion_by_part: collections.OrderedDict[int, Completion] = (
        collections.OrderedDict()
    )

  def add(
      self, key: crash_evidence.IncarnationKey, run: EndedRun, source: str
  ) -> bool:
    """Adds a request that ran on an endpoint until it crashed.

    Args:
      key: The incarnation that crashed.
      run: The request.
      source: Host that saw it, `own` for this one.

    Returns:
      Whether something about the crash is new.
    """
    if not run.keys:
      return False
    crash = self._crash_by_key.get(key)
    if crash is None:
      crash = self._crash_by_key[key] = EndpointCrash(key, source)
      self._drop_excess(key)
    if run.at <= crash.disproved_at:
      return False
    if run.at <= crash.withdrawn_at.get(run.request, float('-inf')):
      return False
    known = crash.run_by_request.get(run.request)
    if known is None:
      if len(crash.run_by_request) >= MAX_RUNS:
        return False
      if not crash.run_by_request:
        crash.source = source
      for part in run.keys:
        self._crashes_by_part.setdefault(part, {})[crash] = None
    else:
      run = EndedRun(
          run.request,
          known.keys & run.keys,
          min(known.at, run.at),
          known.is_doubtful and run.is_doubtful,
      )
    crash.is_own = crash.is_own or source == 'own'
    crash.run_by_request[run.request] = run
    if known is not None:
      self._unindex(crash, known.keys - run.keys)
    # A report that only arrived by another way says nothing new.
    return known is None or run._replace(at=known.at) != known

  def find(self, key: crash_evidence.IncarnationKey) -> EndpointCrash | None:
    """Returns the crash of an incarnation, None if none is known."""
    crash = self._crash_by_key.get(key)
    return crash if crash is not None and crash.run_by_request else None

  def all_crashes(self) -> list[EndpointCrash]:
    """Returns all known crashes."""
    return [c for c in self._crash_by_key.values() if c.run_by_request]

  def suspected(self, crash: EndpointCrash) -> list[EndedRun]:
    """Returns the requests of a crash, without the parts that were cleared."""
    began_at = crash.began_at
    suspected = []
    for run in crash.runs():
      keys = self._uncleared(run.keys, began_at)
      if keys:
        suspected.append(run._replace(keys=keys))
    return suspected

  def completion(self, part: int) -> Completion | None:
    """Returns the latest known answer that was written on a part."""
    return self._completion_by_part.get(part)

  def record_completion(self, part: int, completion: Completion) -> bool:
    """Records an answer on a part that was written to its end.

    Returns:
      Whether this changes what the part may be blamed for.
    """
    known = self._completion_by_part.get(part)
    before = known.began_at if known is not None else float('-inf')
    if completion.began_at <= before:
      return False
    self._completion_by_part[part] = completion
    self._completion_by_part.move_to_end(part)
    self._drop_old_completions()
    for crash in self._crashes_by_part.get(part, ()):
      for limit in (crash.began_at, crash.began_at - crashing_parts.SOUND_S):
        if before < limit <= completion.began_at:
          return True
    return False

  def disprove(
      self,
      key: crash_evidence.IncarnationKey,
      alive_at: float,
      known_since: float,
  ) -> bool:
    """Withdraws the crash of an incarnation that was alive after it.

    Args:
      key: The incarnation.
      alive_at: Time at which it was known to be alive.
      known_since: Time since when it is known to be the same process.

    Returns:
      Whether a crash was withdrawn.
    """
    crash = self.find(key)
    if crash is None or alive_at <= crash.began_at + ALIVE_MARGIN_S:
      return False
    if known_since > crash.began_at - crash_evidence.REPORT_DELAY_S:
      return False
    crash.disproved_at = max(crash.disproved_at, alive_at)
    self._drop_runs(crash)
    return True

  def withdraw(
      self,
      key: crash_evidence.IncarnationKey,
      requests: Iterable[int],
      at: float,
  ) -> set[int]:
    """Withdraws that requests ended by a crash, up to a time.

    Args:
      key: The incarnation.
      requests: The requests.
      at: The time.

    Returns:
      The requests for which this is new.
    """
    crash = self._crash_by_key.get(key)
    if crash is None:
      crash = self._crash_by_key[key] = EndpointCrash(key, '')
      self._drop_excess(key)
    withdrawn = set()
    for request in requests:
      if at <= crash.withdrawn_at.get(request, float('-inf')):
        continue
      withdrawn.add(request)
      crash.withdrawn_at[request] = at
      run = crash.run_by_request.pop(request, None)
      if run is not None:
        self._unindex(crash, run.keys)
    return withdrawn

  def expire(self, now: float) -> bool:
    """Drops old crashes; returns whether there were any."""
    old = []
    for key, crash in self._crash_by_key.items():
      withdrawn_at = max(crash.withdrawn_at.values(), default=0.0)
      last_at = max(crash.began_at, crash.disproved_at, withdrawn_at)
      if last_at < now - MAX_AGE_S:
        old.append(key)
    for key in old:
      self._drop_runs(self._crash_by_key.pop(key))
    return bool(old)

  def find_refused(self) -> list[crashing_parts.PartRefusal]:
    """Returns the sets of parts with which requests are refused."""
    crashes = []
    completed_at = {}
    for crash in self.all_crashes():
      runs = []
      for run in self.suspected(crash):
        runs.append(crashing_parts.PartRun(run.request, run.keys))
        for part in run.keys & self._completion_by_part.keys():
          completed_at[part] = self._completion_by_part[part].began_at
      crashes.append(
          crashing_parts.PartCrash(crash.key, crash.began_at, tuple(runs))
      )
    return crashing_parts.find_refused(crashes, completed_at)

  def _uncleared(self, keys: Iterable[int], at: float) -> frozenset[int]:
    """Returns the parts on which no answer was written since a time."""
    uncleared = []
    for part in keys:
      completion = self._completion_by_part.get(part)
      if completion is None or completion.began_at < at:
        uncleared.append(part)
    return frozenset(uncleared)

  def _drop_old_completions(self) -> None:
    """Drops the oldest ones; those of parts at crashes are kept."""
    if len(self._completion_by_part) <= MAX_COMPLETED:
      return
    for part in self._completion_by_part:
      if part not in self._crashes_by_part:
        del self._completion_by_part[part]
        return

  def _drop_runs(self, crash: EndpointCrash) -> None:
    runs = list(crash.run_by_request.values())
    crash.run_by_request.clear()
    for run in runs:
      self._unindex(crash, run.keys)

  def _unindex(self, crash: EndpointCrash, parts: Iterable[int]) -> None:
    """Removes a crash from parts that none of its requests has any more."""
    for part in parts:
      if any(part in run.keys for run in crash.run_by_request.values()):
        continue
      crashes = self._crashes_by_part.get(part, {})
      crashes.pop(crash, None)
      if not crashes:
        self._crashes_by_part.pop(part, None)

  def _drop_excess(self, newest: crash_evidence.IncarnationKey) -> None:
    if len(self._crash_by_key) <= MAX_CRASHES:
      return
    others = [c for c in self._crash_by_key.values() if c.key != newest]
    oldest = min(others, key=lambda crash: crash.began_at)
    self._drop_runs(self._crash_by_key.pop(oldest.key))
