"""Records which prompt parts were at endpoints when these crashed.

Hosts exchange this evidence, as requests with a part that crashes endpoints
come to any of them. What is known of a crash is the intersection of all
reports, without the parts that were cleared, and so does not depend on their
order.

An answer that was written to its end clears the parts of its request of all
crashes before it began. The reading of a prompt clears nothing: endpoints crash
when they begin to write.
"""

import collections
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


class Completion(NamedTuple):
  """An answer that was written to its end.

  Attributes:
    began_at: When it began.
    source: The host that reported it, `own` for this one.
  """

  began_at: float
  source: str


class EndpointCrash:
  """The crash of one incarnation of an endpoint.

  Attributes:
    key: The incarnation.
    began_at: Time at which the first attempt broke off.
    keys_by_request: Parts that may be the cause, by hash of the request.
    source: The host that reported it first, `own` for this one.
    is_own: Whether an attempt of this host broke off.
    disproved_at: Latest time at which the incarnation is known to have been
      alive, so that breaks before it were no crash.
  """

  def __init__(
      self, key: crash_evidence.IncarnationKey, began_at: float, source: str
  ):
    self.key = key
    self.began_at = began_at
    self.keys_by_request: dict[int, frozenset[int]] = {}
    self.source = source
    self.is_own = False
    self.disproved_at = float('-inf')


class PartEvidence:
  """Crashes of endpoints, and parts on which answers were written."""

  def __init__(self):
    self._crash_by_key: dict[crash_evidence.IncarnationKey, EndpointCrash] = {}
    # Crashes of which a part may be the cause.
    self._crashes_by_part: dict[int, dict[EndpointCrash, None]] = {}
    self._completion_by_part: collections.OrderedDict[int, Completion] = (
        collections.OrderedDict()
    )

  def add(
      self,
      key: crash_evidence.IncarnationKey,
      run: crashing_parts.PartRun,
      at: float,
      source: str,
  ) -> bool:
    """Adds a request that ran on an endpoint when it crashed.

    Args:
      key: The incarnation that crashed.
      run: The request.
      at: When its attempt broke off.
      source: Host that saw it, `own` for this one.

    Returns:
      Whether something about the crash is new.
    """
    if not run.keys:
      return False
    crash = self._crash_by_key.get(key)
    if crash is None:
      crash = self._crash_by_key[key] = EndpointCrash(key, at, source)
      self._drop_excess(key)
    if at <= crash.disproved_at:
      return False
    if crash.began_at <= crash.disproved_at:
      crash.began_at, crash.source = at, source
    is_earlier = at < crash.began_at
    crash.began_at = min(crash.began_at, at)
    crash.is_own = crash.is_own or source == 'own'
    if is_earlier:
      self._strip_all(crash)
    known = crash.keys_by_request.get(run.request)
    if known is None and len(crash.keys_by_request) >= MAX_RUNS:
      return False
    keys = run.keys if known is None else known & run.keys
    keys = self._uncleared(keys, crash.began_at)
    if keys == known or not (keys or known):
      return False
    self._set_keys(crash, run.request, keys)
    return True

  def find(self, key: crash_evidence.IncarnationKey) -> EndpointCrash | None:
    """Returns the crash of an incarnation, None if none is known."""
    crash = self._crash_by_key.get(key)
    return crash if crash is not None and crash.keys_by_request else None

  def all_crashes(self) -> list[EndpointCrash]:
    """Returns all crashes in which a part may be the cause."""
    return [c for c in self._crash_by_key.values() if c.keys_by_request]

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
    if len(self._completion_by_part) > MAX_COMPLETED:
      self._completion_by_part.popitem(last=False)
    is_changed = False
    for crash in list(self._crashes_by_part.get(part, ())):
      if self._clears(crash, part, before, completion.began_at):
        is_changed = True
    return is_changed

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
    self._drop_requests(crash)
    return True

  def expire(self, now: float) -> bool:
    """Drops old crashes; returns whether there were any."""
    old = []
    for key, crash in self._crash_by_key.items():
      if crash.began_at < now - MAX_AGE_S:
        old.append(key)
    for key in old:
      self._drop_requests(self._crash_by_key.pop(key))
    return bool(old)

  def find_refused(self) -> list[crashing_parts.PartRefusal]:
    """Returns the sets of parts with which requests are refused."""
    crashes = []
    for crash in self._crash_by_key.values():
      runs = []
      for request, keys in crash.keys_by_request.items():
        runs.append(crashing_parts.PartRun(request, keys))
      crashes.append(
          crashing_parts.PartCrash(crash.key, crash.began_at, tuple(runs))
      )
    completed_at = {}
    for crash in crashes:
      for run in crash.runs:
        for part in run.keys & self._completion_by_part.keys():
          completed_at[part] = self._completion_by_part[part].began_at
    return crashing_parts.find_refused(crashes, completed_at)

  def _clears(
      self, crash: EndpointCrash, part: int, before: float, began_at: float
  ) -> bool:
    """Clears a part of a crash; returns whether its standing changes."""
    requests = []
    for request, keys in crash.keys_by_request.items():
      if part in keys:
        requests.append(request)
    if began_at >= crash.began_at:
      for request in requests:
        keys = crash.keys_by_request[request] - {part}
        self._set_keys(crash, request, keys)
      return True
    sound_since = crash.began_at - crashing_parts.SOUND_S
    return before < sound_since <= began_at

  def _uncleared(self, keys: frozenset[int], at: float) -> frozenset[int]:
    """Returns the parts on which no answer was written since a time."""
    cleared = set()
    for part in keys:
      completion = self._completion_by_part.get(part)
      if completion is not None and completion.began_at >= at:
        cleared.add(part)
    return keys - cleared

  def _strip_all(self, crash: EndpointCrash) -> None:
    for request, keys in list(crash.keys_by_request.items()):
      self._set_keys(crash, request, self._uncleared(keys, crash.began_at))

  def _set_keys(
      self, crash: EndpointCrash, request: int, keys: frozenset[int]
  ) -> None:
    before = crash.keys_by_request.pop(request, frozenset())
    if keys:
      crash.keys_by_request[request] = keys
    for part in keys - before:
      self._crashes_by_part.setdefault(part, {})[crash] = None
    for part in before - keys:
      if any(part in others for others in crash.keys_by_request.values()):
        continue
      del self._crashes_by_part[part][crash]
      if not self._crashes_by_part[part]:
        del self._crashes_by_part[part]

  def _drop_requests(self, crash: EndpointCrash) -> None:
    for request in list(crash.keys_by_request):
      self._set_keys(crash, request, frozenset())

  def _drop_excess(self, newest: crash_evidence.IncarnationKey) -> None:
    if len(self._crash_by_key) <= MAX_CRASHES:
      return
    others = [c for c in self._crash_by_key.values() if c.key != newest]
    oldest = min(others, key=lambda crash: crash.began_at)
    self._drop_requests(self._crash_by_key.pop(oldest.key))
