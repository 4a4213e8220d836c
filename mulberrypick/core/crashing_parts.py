"""Finds the parts of prompts that crash the endpoints that write on them.

Requests with such a part need not have anything else in common, so that none of
them is ever seen to crash two endpoints. What they share is found from the
parts of all requests that ran on the crashed endpoints:

*   A part is a candidate if several endpoints crashed under it, by several
    requests. A part on which answers were written to their end is none: not for
    crashes before them, and not soon after.
*   Refused are requests with all the parts that the requests with a candidate
    have in common. As long as nothing tells these parts apart, a request with
    only some of them may be sound. If it is not, its crash makes the set
    smaller.
*   If several parts explain equally many crashes, all of them are refused, and
    one of their requests is let through after a short time.
*   A part whose crashes are explained by larger sets with it is not blamed for
    them. Otherwise the part that explains most crashes is blamed first, so that
    requests that ran beside are not.

Parts of endpoints that crash with many others, as in a failure of a zone, are
not blamed for it.
"""

import bisect
import itertools
from collections.abc import Iterable
from collections.abc import Mapping
from typing import NamedTuple

from mulberrypick.core import crash_evidence
from mulberrypick.core import gateway_records

# Different parts of one request that are looked at: the first ones.
MAX_PARTS = 64
# Crashes, and different requests that were involved, after which a part may be
# blamed.
MIN_CRASHES = 3
MIN_REQUESTS = 3
# A part that crashes endpoints when they begin to write on it is seldom in more
# requests of one endpoint. With more, other parts are likelier causes.
MAX_REQUESTS_PER_CRASH = 2
MIN_CRASHES_IF_COMMON = 6
# Endpoints that crash with gaps below `MOMENT_S` may have one cause that is no
# request. They suffice for a refusal only if there are this many. If a part was
# at some but not all of this many or more, they are one crash to it.
MOMENT_S = 0.03
MIN_CRASHES_AT_ONCE = 5
MIN_ENDPOINTS_AT_ONCE = 3
# Crashes that no other blamed part explains.
MIN_UNEXPLAINED = 2
# Time after an answer was written on a part in which crashes are not blamed on
# it. A part that crashes endpoints is blamed at the latest after this time.
SOUND_S = 10.0
# Endpoints that crash within this time of each other may have one cause.
COMMON_CAUSE_S = 0.75
# Endpoints that crash together, per one with the part, above which the part is
# not taken to be their cause.
MAX_CRASHES_PER_INVOLVED = 5
# A request with refused parts is let through this long after the last crash, to
# find out whether it still crashes endpoints. The time grows with each crash
# after such a pause.
PROBE_S = 30.0
AMBIGUOUS_PROBE_S = 5.0
PROBE_FACTOR = 4
MIN_PAUSE_S = 15.0


class PartRun(NamedTuple):
  """A request that ran on an endpoint when it crashed.

  Attributes:
    request: Hash of the request.
    keys: Its parts without the last one, and without those that are known not
      to be the cause.
  """

  request: int
  keys: frozenset[int]


class PartCrash(NamedTuple):
  """The crash of an endpoint.

  Attributes:
    key: The incarnation.
    began_at: When it crashed.
    runs: The requests that ran there.
  """

  key: crash_evidence.IncarnationKey
  began_at: float
  runs: tuple[PartRun, ...]


class PartRefusal(NamedTuple):
  """Parts that crash endpoints if a request holds all of them.

  Attributes:
    keys: The parts.
    crashes: The crashes of requests with them, by time.
    requests: Number of different requests that were involved.
    probe_interval_s: Time after the last crash in which none is let through.
  """

  keys: frozenset[int]
  crashes: tuple[PartCrash, ...]
  requests: int
  probe_interval_s: float

  @property
  def last_crash_at(self) -> float:
    """When the last endpoint crashed."""
    return self.crashes[-1].began_at

  def explain(self) -> crash_evidence.ExplainedCrashes:
    """Returns the crashes, and the requests with all the parts."""
    requests = set()
    for crash in self.crashes:
      for run in crash.runs:
        if self.keys <= run.keys:
          requests.add(run.request)
    return crash_evidence.ExplainedCrashes(
        frozenset(crash.key for crash in self.crashes), frozenset(requests)
    )


def candidate_keys(
    parts: tuple[gateway_records.PromptPart, ...],
) -> frozenset[int]:
  """Returns the keys of the parts of a prompt that may crash endpoints.

  The last part belongs to the request itself or to its session.
  """
  keys = dict.fromkeys(part.key for part in parts[:-1])
  return frozenset(itertools.islice(keys, MAX_PARTS))


def format_keys(keys: Iterable[int]) -> str:
  """Returns keys of parts as they are logged, each with 8 hex digits."""
  return ','.join(f'{key:08x}' for key in sorted(keys))


def find_refused(
    crashes: Iterable[PartCrash], completed_at: Mapping[int, float]
) -> list[PartRefusal]:
  """Returns the sets of parts with which requests are refused.

  Args:
    crashes: All known crashes.
    completed_at: Latest time at which an answer began that was written to its
      end, by part. Parts without one are missing.
  """
  ordered = sorted(crashes, key=lambda crash: (crash.began_at, crash.key))
  crashes_by_part: dict[int, list[PartCrash]] = {}
  for crash in ordered:
    for part in set().union(*(run.keys for run in crash.runs)):
      crashes_by_part.setdefault(part, []).append(crash)
  times = [crash.began_at for crash in ordered]
  candidate_by_keys: dict[frozenset[int], PartRefusal] = {}
  for part, involved in crashes_by_part.items():
    if len(involved) < MIN_CRASHES:
      continue
    if completed_at.get(part, float('-inf')) > involved[-1].began_at - SOUND_S:
      continue
    candidate = _make_candidate(part, involved, times)
    if candidate is not None:
      candidate_by_keys[candidate.keys] = candidate
  return _choose(list(candidate_by_keys.values()))


def _make_candidate(
    part: int, involved: list[PartCrash], times: list[float]
) -> PartRefusal | None:
  crashes = _without_common_cause(involved, times)
  if len(crashes) < MIN_CRASHES:
    return None
  requests = set()
  keys = None
  for crash in crashes:
    for run in crash.runs:
      if part in run.keys:
        requests.add(run.request)
        keys = run.keys if keys is None else keys & run.keys
  if len(requests) < MIN_REQUESTS:
    return None
  if _moments(crashes) == 1 and len(crashes) < MIN_CRASHES_AT_ONCE:
    return None
  is_common = len(requests) > MAX_REQUESTS_PER_CRASH * len(crashes)
  if is_common and len(crashes) < MIN_CRASHES_IF_COMMON:
    return None
  return PartRefusal(
      keys, tuple(crashes), len(requests), _probe_interval_s(crashes)
  )


def _without_common_cause(
    involved: list[PartCrash], times: list[float]
) -> list[PartCrash]:
  """Leaves out crashes that happened together with others."""
  involved_times = [crash.began_at for crash in involved]
  kept = []
  for crash in involved:
    at_once = _find_moment(times, crash.began_at)
    is_first = not kept or kept[-1].began_at < times[at_once.start]
    if not is_first and len(at_once) >= MIN_ENDPOINTS_AT_ONCE:
      part_at_once = _find_moment(involved_times, crash.began_at)
      if len(part_at_once) < len(at_once):
        continue
    together = _count_near(times, crash.began_at)
    with_part = _count_near(involved_times, crash.began_at)
    if together <= MAX_CRASHES_PER_INVOLVED * with_part:
      kept.append(crash)
  return kept


def _count_near(times: list[float], at: float) -> int:
  first = bisect.bisect_left(times, at - COMMON_CAUSE_S)
  return bisect.bisect_right(times, at + COMMON_CAUSE_S) - first


def _find_moment(times: list[float], at: float) -> range:
  """Returns the positions of the times around one with short gaps."""
  first = last = bisect.bisect_left(times, at)
  while first > 0 and times[first] - times[first - 1] < MOMENT_S:
    first -= 1
  while last + 1 < len(times) and times[last + 1] - times[last] < MOMENT_S:
    last += 1
  return range(first, last + 1)


def _moments(crashes: list[PartCrash]) -> int:
  """Returns the number of groups of crashes with short gaps."""
  moments = 1
  for earlier, later in zip(crashes, crashes[1:], strict=False):
    moments += later.began_at - earlier.began_at >= MOMENT_S
  return moments


def _probe_interval_s(crashes: list[PartCrash]) -> float:
  pauses = 0
  for earlier, later in zip(crashes, crashes[1:], strict=False):
    pauses += later.began_at - earlier.began_at >= MIN_PAUSE_S
  return PROBE_S * PROBE_FACTOR**pauses


def _choose(candidates: list[PartRefusal]) -> list[PartRefusal]:
  """Returns the candidates that are needed to explain the crashes."""
  general = [c for c in candidates if not _is_covered(c, candidates)]
  general.sort(key=lambda c: (-len(c.crashes), -len(c.keys), sorted(c.keys)))
  explained: set[crash_evidence.IncarnationKey] = set()
  chosen = []
  for candidate in general:
    crashed = {crash.key for crash in candidate.crashes}
    if len(crashed - explained) < MIN_UNEXPLAINED:
      continue
    rivals = [c for c in general if _are_rivals(c, candidate)]
    for rival in rivals:
      explained.update(crash.key for crash in rival.crashes)
      if len(rivals) > 1:
        rival = rival._replace(
            probe_interval_s=rival.probe_interval_s
            * (AMBIGUOUS_PROBE_S / PROBE_S)
        )
      if all(rival.keys != other.keys for other in chosen):
        chosen.append(rival)
  return chosen


def _are_rivals(one: PartRefusal, other: PartRefusal) -> bool:
  """Returns whether two sets of parts explain crashes equally well."""
  if len(one.crashes) != len(other.crashes):
    return False
  crashed = {crash.key for crash in other.crashes}
  shared = sum(crash.key in crashed for crash in one.crashes)
  return shared > len(crashed) - MIN_UNEXPLAINED


def _is_covered(candidate: PartRefusal, candidates: list[PartRefusal]) -> bool:
  """Returns whether larger sets of parts explain most of its crashes."""
  uncovered = {crash.key for crash in candidate.crashes}
  has_larger = False
  for other in candidates:
    if other.keys > candidate.keys:
      has_larger = True
      uncovered -= {crash.key for crash in other.crashes}
  return has_larger and len(uncovered) < MIN_CRASHES
