"""Exchanges evidence of crashes between hosts.

A request may return at any host, while its crashes are counted for the fleet.
Each host therefore sends what it saw, and the receivers merge it: the union of
the reports is the same whatever their order, path and number. New evidence is
sent once at once. Evidence that may lead to a refusal, and recent evidence, is
repeated, for hosts that missed it or started later.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import crash_evidence
from mulberrypick.core import withdrawals

REPEAT_INTERVAL_S = 1.0
# Shortest interval if hosts start.
MIN_REPEAT_INTERVAL_S = 0.2
# Time for which a crash is repeated although none of its requests was part of
# another one.
RECENT_S = 3.0
# Maximum number of requests whose crashes are repeated in one message.
MAX_REPEATED = 100
# Maximum number of cleared requests in one message.
MAX_CLEARED = 200
# Reports of older crashes are ignored.
MAX_AGE_S = 600.0


class CrashReport(NamedTuple):
  """Requests that were involved in a crash, as hosts report it to each other.

  Attributes:
    endpoint: Name of the endpoint.
    incarnation: The incarnation that crashed.
    age_s: Time since the first attempt broke off. Hosts share no clock.
    has_token: Whether the requests had generated tokens.
    fingerprints: The requests.
  """

  endpoint: str
  incarnation: int
  age_s: float
  has_token: bool
  fingerprints: tuple[int, ...]


class ClearedRequest(NamedTuple):
  """A request that ran to its end after it was involved in crashes.

  Attributes:
    fingerprint: The request.
    age_s: Time since when it may be the cause of a crash again.
  """

  fingerprint: int
  age_s: float


class CrashNews(NamedTuple):
  """What a host reports to others.

  Attributes:
    crashes: Crashes of endpoints.
    cleared: Requests that were not the cause of earlier crashes.
    withdrawn: Crashes that the host reported while its connections were cut.
  """

  crashes: tuple[CrashReport, ...] = ()
  cleared: tuple[ClearedRequest, ...] = ()
  withdrawn: tuple[crash_evidence.Withdrawal, ...] = ()


class _Cleared(NamedTuple):
  """A cleared request: until when, and when it was added to the messages."""

  until: float
  added_at: float


class NewInvolvement(NamedTuple):
  """A request and a crash that a report added to the evidence."""

  fingerprint: int
  crash: crash_evidence.Crash


class CrashExchange:
  """Evidence that this host has to send, and that it receives.

  Attributes:
    withdrawals: Crashes that were withdrawn.
  """

  def __init__(self, evidence: crash_evidence.CrashEvidence):
    self._evidence = evidence
    self._unsent: dict[crash_evidence.IncarnationKey, set[int]] = {}
    self._repeated_at = float('-inf')
    # Cleared requests that are sent. Those in `_unsent_cleared` were not sent
    # yet.
    self._cleared: collections.OrderedDict[int, _Cleared] = (
        collections.OrderedDict()
    )
    self._unsent_cleared: set[int] = set()
    self.withdrawals = withdrawals.Withdrawals(evidence)

  def add_unsent(
      self, key: crash_evidence.IncarnationKey, fingerprint: int
  ) -> None:
    """Includes new evidence in the next message."""
    self._unsent.setdefault(key, set()).add(fingerprint)

  def add_cleared(self, fingerprint: int, until: float, now: float) -> None:
    """Includes a request that was cleared in the next message.

    Args:
      fingerprint: The request.
      until: Time up to which it is known to cause no crash.
      now: Monotonic time.
    """
    self._cleared[fingerprint] = _Cleared(until, now)
    self._unsent_cleared.add(fingerprint)

  def merge(
      self, news: CrashNews, source: str, is_forwarded: bool, now: float
  ) -> list[NewInvolvement]:
    """Merges what another host reports; returns new evidence.

    Args:
      news: What the host reports.
      source: Name of the host.
      is_forwarded: Whether this host forwards it, as a relay does.
      now: Monotonic time.
    """
    for cleared in news.cleared:
      until = now - cleared.age_s
      is_new = self._evidence.clear_until(cleared.fingerprint, until)
      if is_new and is_forwarded:
        self.add_cleared(cleared.fingerprint, until, now)
    for withdrawal in news.withdrawn:
      self.withdrawals.withdraw(withdrawal, is_forwarded, now)
    added = []
    for report in news.crashes:
      if report.age_s > MAX_AGE_S:
        continue
      key = (report.endpoint, report.incarnation)
      involved = crash_evidence.Involvement(report.has_token, False, source)
      for fingerprint in report.fingerprints:
        at = now - report.age_s
        if not self._evidence.add(key, fingerprint, involved, at):
          self._tell_if_cleared(fingerprint, at, now)
          continue
        added.append(NewInvolvement(fingerprint, self._evidence.find(key)))
        if is_forwarded:
          self.add_unsent(key, fingerprint)
    return added

  def _tell_if_cleared(self, fingerprint: int, at: float, now: float) -> None:
    """Tells others that a request whose crash they report was not the cause."""
    until = self._evidence.cleared_until(fingerprint)
    if at <= until and fingerprint not in self._cleared:
      self.add_cleared(fingerprint, until, now)

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

  def take_news(self, now: float) -> CrashNews:
    """Returns the news for the next message to other hosts."""
    is_repeat = now - self._repeated_at >= REPEAT_INTERVAL_S
    if is_repeat:
      self._repeated_at = now
    return CrashNews(
        tuple(self._take_crashes(is_repeat, now)),
        tuple(self._take_cleared(is_repeat, now)),
        self.withdrawals.take(is_repeat, now),
    )

  def _take_cleared(self, is_repeat: bool, now: float) -> list[ClearedRequest]:
    cleared = []
    for fingerprint, told in list(self._cleared.items()):
      if told.added_at < now - RECENT_S:
        del self._cleared[fingerprint]
      if is_repeat or fingerprint in self._unsent_cleared:
        cleared.append(ClearedRequest(fingerprint, round(now - told.until, 3)))
    self._unsent_cleared.clear()
    return cleared[-MAX_CLEARED:]

  def _take_crashes(self, is_repeat: bool, now: float) -> list[CrashReport]:
    selected = self._unsent
    self._unsent = {}
    if is_repeat:
      for fingerprint in self._select_repeated(now):
        for crash in self._evidence.crashes(fingerprint):
          selected.setdefault(crash.key, set()).add(fingerprint)
    reports = []
    for key, fingerprints in selected.items():
      crash = self._evidence.find(key)
      if crash is not None:
        reports += _make_reports(crash, fingerprints, now)
    return reports

  def reports_of(self, fingerprint: int, now: float) -> list[CrashReport]:
    """Returns reports of the crashes in which a request was involved."""
    reports = []
    for crash in self._evidence.crashes(fingerprint):
      reports += _make_reports(crash, {fingerprint}, now)
    return reports

  def _select_repeated(self, now: float) -> list[int]:
    ranked = []
    for fingerprint in self._evidence.fingerprints():
      crashes = self._evidence.crashes(fingerprint)
      last = max(crash.began_at for crash in crashes)
      if len(crashes) > 1 or now - last < RECENT_S:
        ranked.append((len(crashes), last, fingerprint))
    ranked.sort(reverse=True)
    return [fingerprint for _, _, fingerprint in ranked[:MAX_REPEATED]]


def _make_reports(
    crash: crash_evidence.Crash, fingerprints: set[int], now: float
) -> list[CrashReport]:
  reports = []
  for has_token in (False, True):
    involved = []
    for fingerprint in sorted(fingerprints):
      known = crash.involved_by_hash.get(fingerprint)
      if known is not None and known.has_token == has_token:
        involved.append(fingerprint)
    if involved:
      age_s = round(now - crash.began_at, 3)
      reports.append(CrashReport(*crash.key, age_s, has_token, tuple(involved)))
  return reports
