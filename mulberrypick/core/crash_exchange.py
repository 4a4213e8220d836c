"""Exchanges evidence of crashes between hosts.

A request may return at any host, while its crashes are counted for the fleet.
Each host therefore sends what it saw, and the receivers merge it: the union of
the reports is the same whatever their order, path and number. New evidence is
sent once at once. Evidence that may lead to a refusal, and recent evidence, is
repeated, for hosts that missed it or started later.
"""

from collections.abc import Sequence
from typing import NamedTuple

from mulberrypick.core import crash_evidence

REPEAT_INTERVAL_S = 1.0
# Time for which a crash is repeated although none of its requests was part of
# another one.
RECENT_S = 3.0
# Maximum number of requests whose crashes are repeated in one message.
MAX_REPEATED = 100
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


class NewInvolvement(NamedTuple):
  """A request and a crash that a report added to the evidence."""

  fingerprint: int
  crash: crash_evidence.Crash


class CrashExchange:
  """Evidence that this host has to send, and that it receives."""

  def __init__(self, evidence: crash_evidence.CrashEvidence):
    self._evidence = evidence
    self._unsent: dict[crash_evidence.IncarnationKey, set[int]] = {}
    self._repeated_at = float('-inf')

  def add_unsent(
      self, key: crash_evidence.IncarnationKey, fingerprint: int
  ) -> None:
    """Includes new evidence in the next message."""
    self._unsent.setdefault(key, set()).add(fingerprint)

  def merge(
      self,
      reports: Sequence[CrashReport],
      source: str,
      is_forwarded: bool,
      now: float,
  ) -> list[NewInvolvement]:
    """Merges the reports of another host; returns what was new.

    Args:
      reports: The reports.
      source: Name of the host that sent them.
      is_forwarded: Whether this host forwards them, as a relay does.
      now: Monotonic time.
    """
    added = []
    for report in reports:
      if report.age_s > MAX_AGE_S:
        continue
      key = (report.endpoint, report.incarnation)
      involved = crash_evidence.Involvement(report.has_token, False, source)
      for fingerprint in report.fingerprints:
        if not self._evidence.add(
            key, fingerprint, involved, now - report.age_s
        ):
          continue
        added.append(NewInvolvement(fingerprint, self._evidence.find(key)))
        if is_forwarded:
          self.add_unsent(key, fingerprint)
    return added

  def take_reports(self, now: float) -> list[CrashReport]:
    """Returns the reports for the next message to other hosts."""
    selected = self._unsent
    self._unsent = {}
    if now - self._repeated_at >= REPEAT_INTERVAL_S:
      self._repeated_at = now
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
