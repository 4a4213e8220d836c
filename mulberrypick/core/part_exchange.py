"""Exchanges between hosts which prompt parts were at crashed endpoints.

New evidence is sent once at once, and repeated for a while, for hosts that
missed it. The crashes for which requests are refused are repeated for as long
as these are refused, for hosts that start later. That a part was cleared is
sent only if it changes what the part may be blamed for.
"""

import collections
import itertools
from typing import NamedTuple

from mulberrypick.core import crash_evidence
from mulberrypick.core import crashing_parts
from mulberrypick.core import part_evidence
from mulberrypick.core import withdrawals

REPEAT_INTERVAL_S = 1.0
# Shortest interval if hosts start.
MIN_REPEAT_INTERVAL_S = 0.2
# Time for which new evidence is repeated.
RECENT_S = 5.0
# Crashes repeated in one message, and of them those of one refusal.
MAX_REPEATED = 24
MAX_REPEATED_PER_REFUSAL = 8
# Parts of requests in one message; the rest follows in the next ones.
MAX_KEYS = 600
# Cleared parts in one message.
MAX_CLEARED = 200
# Parts that are to be sent as cleared.
MAX_CLEARED_KNOWN = 2000


class PartCrashReport(NamedTuple):
  """Requests that ran on an endpoint when it crashed.

  Attributes:
    endpoint: Name of the endpoint.
    incarnation: The incarnation that crashed.
    age_s: Time since the attempts ended. Hosts share no clock.
    runs: Hash and parts of each request.
    is_doubtful: Whether the answers may have been complete by then.
  """

  endpoint: str
  incarnation: int
  age_s: float
  runs: tuple[tuple[int, tuple[int, ...]], ...]
  is_doubtful: bool = False


class ClearedPart(NamedTuple):
  """A part on which an answer was written to its end.

  Attributes:
    part: The part.
    age_s: Time since the answer began.
  """

  part: int
  age_s: float


class PartNews(NamedTuple):
  """What a host reports to others.

  Attributes:
    crashes: Crashes of endpoints.
    cleared: Parts that are not the cause of crashes.
    withdrawn: Crashes that the host reported while its connections were cut.
  """

  crashes: tuple[PartCrashReport, ...] = ()
  cleared: tuple[ClearedPart, ...] = ()
  withdrawn: tuple[crash_evidence.Withdrawal, ...] = ()


class PartExchange:
  """Evidence that this host has to send, and that it receives.

  Attributes:
    withdrawals: Crashes that were withdrawn.
  """

  def __init__(self, evidence: part_evidence.PartEvidence):
    self._evidence = evidence
    self._unsent: dict[crash_evidence.IncarnationKey, set[int]] = {}
    self._unsent_cleared: set[int] = set()
    # Cleared parts that are repeated, and since when.
    self._cleared_since: collections.OrderedDict[int, float] = (
        collections.OrderedDict()
    )
    # When this host learned of a crash, as long as it is repeated.
    self._learned_at: dict[crash_evidence.IncarnationKey, float] = {}
    self._repeated_at = float('-inf')
    self.withdrawals = withdrawals.Withdrawals(evidence)

  def add_unsent(
      self, key: crash_evidence.IncarnationKey, request: int, now: float
  ) -> None:
    """Includes a request that ran on a crashed endpoint in messages."""
    self._unsent.setdefault(key, set()).add(request)
    self._learned_at[key] = now

  def add_cleared(self, part: int, now: float) -> None:
    """Includes a cleared part in messages."""
    self._unsent_cleared.add(part)
    self._cleared_since[part] = now
    self._cleared_since.move_to_end(part)
    if len(self._cleared_since) > MAX_CLEARED_KNOWN:
      dropped, _ = self._cleared_since.popitem(last=False)
      self._unsent_cleared.discard(dropped)

  def merge(
      self, news: PartNews, source: str, is_forwarded: bool, now: float
  ) -> bool:
    """Merges what another host reports; returns whether anything is new.

    Args:
      news: What the host reports.
      source: Name of the host.
      is_forwarded: Whether this host forwards it, as a relay does.
      now: Monotonic time.
    """
    is_new = self._merge_cleared(news.cleared, source, is_forwarded, now)
    for withdrawal in news.withdrawn:
      if self.withdrawals.withdraw(withdrawal, is_forwarded, now):
        is_new = True
    for report in news.crashes:
      if report.age_s > part_evidence.MAX_AGE_S:
        continue
      key = (report.endpoint, report.incarnation)
      for request, parts in report.runs:
        keys = frozenset(parts[: crashing_parts.MAX_PARTS])
        at = now - report.age_s
        self._tell_cleared(keys, at, now)
        run = part_evidence.EndedRun(request, keys, at, report.is_doubtful)
        if not self._evidence.add(key, run, source):
          continue
        is_new = True
        if is_forwarded:
          self.add_unsent(key, request, now)
    return is_new

  def _merge_cleared(
      self,
      parts: tuple[ClearedPart, ...],
      source: str,
      is_forwarded: bool,
      now: float,
  ) -> bool:
    is_new = False
    for cleared in parts:
      completion = part_evidence.Completion(now - cleared.age_s, source)
      if self._evidence.record_completion(cleared.part, completion):
        is_new = True
        if is_forwarded:
          self.add_cleared(cleared.part, now)
    return is_new

  def withdraw_own(self, since: float, now: float) -> bool:
    """Withdraws the crashes that this host reported since a time.

    Returns:
      Whether there were any.
    """
    withdrawn: set[int] = set()
    for crash in self._evidence.all_crashes():
      if crash.source != 'own' or crash.began_at < since:
        continue
      requests = tuple(crash.run_by_request)
      withdrawal = crash_evidence.Withdrawal(*crash.key, 0.0, requests)
      withdrawn |= self.withdrawals.withdraw(withdrawal, True, now)
    return bool(withdrawn)

  def _tell_cleared(self, keys: frozenset[int], at: float, now: float) -> None:
    """Tells others of parts that are not the cause of what they report."""
    for part in keys:
      completion = self._evidence.completion(part)
      if completion is None or part in self._unsent_cleared:
        continue
      if completion.began_at < at - crashing_parts.SOUND_S:
        continue
      told_at = self._cleared_since.get(part, float('-inf'))
      if told_at < now - REPEAT_INTERVAL_S or told_at < completion.began_at:
        self.add_cleared(part, now)

  def repeat_soon(self, now: float) -> bool:
    """Repeats the evidence in the next message, for a host that starts.

    Returns:
      Whether it was not repeated a moment ago.
    """
    if now - self._repeated_at < MIN_REPEAT_INTERVAL_S:
      return False
    self._repeated_at = float('-inf')
    return True

  def has_unsent(self) -> bool:
    """Returns whether there is anything new for the next message."""
    return bool(
        self._unsent or self._unsent_cleared or self.withdrawals.has_unsent
    )

  def take_news(
      self, refusals: list[crashing_parts.PartRefusal], now: float
  ) -> PartNews:
    """Returns the news for the next message to other hosts.

    Args:
      refusals: The sets of parts with which requests are refused.
      now: Monotonic time.
    """
    is_repeat = now - self._repeated_at >= REPEAT_INTERVAL_S
    selected = self._unsent
    reports, self._unsent = self._make_reports(selected, now)
    if is_repeat and not self._unsent:
      self._repeated_at = now
      repeated: dict[crash_evidence.IncarnationKey, set[int]] = {}
      for key in self._select_repeated(refusals, now):
        crash = self._evidence.find(key)
        if crash is not None:
          sent = selected.get(key, set())
          repeated[key] = crash.run_by_request.keys() - sent
      reports += self._make_reports(repeated, now)[0]
    return PartNews(
        tuple(reports),
        tuple(self._take_cleared(is_repeat, now)),
        self.withdrawals.take(is_repeat, now),
    )

  def reports_of(
      self, refusal: crashing_parts.PartRefusal, now: float
  ) -> list[PartCrashReport]:
    """Returns reports of the crashes for which parts are refused."""
    reports = []
    for crash in refusal.crashes[-MAX_REPEATED_PER_REFUSAL:]:
      runs = []
      for run in crash.runs:
        if refusal.keys <= run.keys:
          runs.append((run.request, tuple(sorted(refusal.keys))))
      age_s = round(now - crash.began_at, 3)
      reports.append(PartCrashReport(*crash.key, age_s, tuple(runs)))
    return reports

  def _select_repeated(
      self, refusals: list[crashing_parts.PartRefusal], now: float
  ) -> list[crash_evidence.IncarnationKey]:
    selected: dict[crash_evidence.IncarnationKey, None] = {}
    for key, learned_at in list(self._learned_at.items()):
      if learned_at < now - RECENT_S:
        del self._learned_at[key]
    for refusal in refusals:
      for crash in refusal.crashes[-MAX_REPEATED_PER_REFUSAL:]:
        selected[crash.key] = None
    for key in reversed(self._learned_at):
      selected[key] = None
    return list(selected)[:MAX_REPEATED]

  def _make_reports(
      self,
      selected: dict[crash_evidence.IncarnationKey, set[int]],
      now: float,
  ) -> tuple[
      list[PartCrashReport], dict[crash_evidence.IncarnationKey, set[int]]
  ]:
    """Returns reports, and the requests for which there was no room."""
    reports = []
    left_out: dict[crash_evidence.IncarnationKey, set[int]] = {}
    count = 0
    for key, requests in selected.items():
      crash = self._evidence.find(key)
      if crash is None:
        continue
      chosen = []
      for run in self._evidence.suspected(crash):
        if run.request not in requests:
          continue
        if count >= MAX_KEYS:
          left_out.setdefault(key, set()).add(run.request)
          continue
        count += len(run.keys)
        chosen.append(run)
      reports += _make_reports(crash, chosen, now)
    return reports, left_out

  def _take_cleared(self, is_repeat: bool, now: float) -> list[ClearedPart]:
    selected = list(self._unsent_cleared)[:MAX_CLEARED]
    self._unsent_cleared.difference_update(selected)
    for part, since in list(self._cleared_since.items()):
      if since < now - RECENT_S:
        del self._cleared_since[part]
    if is_repeat:
      repeated = (p for p in self._cleared_since if p not in selected)
      selected += itertools.islice(repeated, MAX_CLEARED - len(selected))
    cleared = []
    for part in selected:
      completion = self._evidence.completion(part)
      if completion is not None:
        age_s = round(now - completion.began_at, 3)
        cleared.append(ClearedPart(part, age_s))
    return cleared


def _make_reports(
    crash: part_evidence.EndpointCrash,
    runs: list[part_evidence.EndedRun],
    now: float,
) -> list[PartCrashReport]:
  """Returns one report of the certain runs, and one of each doubtful run."""
  reports = []
  certain = []
  for run in runs:
    packed = (run.request, tuple(sorted(run.keys)))
    if not run.is_doubtful:
      certain.append(packed)
      continue
    age_s = round(now - run.at, 3)
    reports.append(PartCrashReport(*crash.key, age_s, (packed,), True))
  if certain:
    age_s = round(now - crash.began_at, 3)
    reports.append(PartCrashReport(*crash.key, age_s, tuple(certain)))
  return reports
