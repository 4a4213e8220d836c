"""Finds and refuses requests that crash the endpoints that run them.

When attempts break off on an endpoint, every request that ran there becomes a
suspect. A suspect is retried in isolation: on an endpoint that runs no other
suspect. A second crash therefore identifies the request that caused both: it
is refused from then on, and the requests that ran beside it are cleared. If
another request was part of several crashes too, the second crash does not tell
which of them is the cause. Each of them is then refused after its third crash,
unless one of the others was part of these crashes and of more. If several were
part of the same crashes, all of them are refused only for a while, which grows
with each crash: the next one tells them apart, or one of them completes. A
request that completed anywhere, before or after a crash, was not its cause.

A request that had generated tokens before the crash is a weak suspect, because
most crashes happen during prefill. Weak suspects are not isolated before their
second crash, and are refused after the third.

The state of a request is computed from the known crashes each time, so that it
does not depend on the order in which the attempts of one crash are recorded.
Hosts exchange the crashes that they see, see `crash_exchange`, so that a
request that its caller sends again to other hosts is judged by all of them.

Requests are identified by a hash of their content, as the caller makes a new
id each time. If several endpoints break off at once and none of the requests
there was part of another crash, now or before, the network failed: nobody is
suspected. A part of other requests that explains all crashes of a request (see
`crashing_parts`) counts like another request that was part of them: if it
explains more, the request is not blamed, else both are refused for a while. An
incarnation that
is alive after the break did not crash either: an attempt that was given up
because the endpoint was silent says nothing about the request.
"""

import collections
import enum

from mulberrypick.core import crash_evidence
from mulberrypick.core import crash_exchange

# A suspect is cleared this long after its last crash.
SUSPECT_TTL_S = 60.0
# A request that crashes endpoints is refused for this long.
QUARANTINE_S = 600.0
# Suspects reported by a peer expire this long after its last report.
PEER_TTL_S = 3.0
# Attempts that break off on one endpoint within this time are one crash.
CRASH_WINDOW_S = 1.5
# If attempts break off on this many endpoints within `CRASH_WINDOW_S`, and none
# of the requests was part of two crashes, the network is taken to have failed.
MIN_NETWORK_FAILURE_ENDPOINTS = 3
# Uncertainty of the age of a load report.
ALIVE_MARGIN_S = 0.1
# Crashes after which a request is refused if it is the only suspect.
CRASHES_TO_REFUSE = 2
# Crashes after which a request is refused in any case.
MAX_CRASHES = 3
# A request that completed does not become a suspect for this long: one that
# crashes endpoints never completes.
COMPLETED_TTL_S = 60.0
# Time for which requests are refused that were part of the same three crashes,
# and by which factor it grows with each further crash.
SHARED_REFUSAL_S = 5.0
SHARED_REFUSAL_FACTOR = 4
MAX_TRACKED = crash_evidence.MAX_TRACKED
MAX_ANNOUNCED = 100
# Interval between two removals of expired suspects.
EXPIRY_INTERVAL_S = 1.0

CLEAR = 'clear'
SUSPECT = 'suspect'
TRIED_BY_PEER = 'elsewhere'
REFUSED = 'refused'


class _Cause(enum.Enum):
  """Whether a request is the cause of the crashes that it was part of."""

  NO = 'no'
  # Another request was part of the same crashes.
  SHARED = 'shared'
  SOLE = 'sole'


class Quarantine:
  """Tracks suspected and refused requests.

  Attributes:
    exchange: Exchanges the evidence with other hosts.
  """

  def __init__(self):
    self._evidence = crash_evidence.CrashEvidence()
    self.exchange = crash_exchange.CrashExchange(self._evidence)
    # When the first attempt of this host broke off in each recent crash.
    self._own_break_at: collections.OrderedDict[
        crash_evidence.IncarnationKey, float
    ] = collections.OrderedDict()
    self._refused_by_peer_until: collections.OrderedDict[int, float] = (
        collections.OrderedDict()
    )
    self._peer_suspect_until: dict[int, float] = {}
    self._explained: tuple[crash_evidence.ExplainedCrashes, ...] = ()
    self._expired_at = float('-inf')

  def record_broken_attempt(
      self,
      endpoint: str,
      incarnation: int,
      fingerprint: int,
      has_token: bool,
      now: float,
  ) -> list[crash_exchange.NewInvolvement]:
    """Records that an attempt broke off after it was sent.

    Args:
      endpoint: The endpoint that ran it.
      incarnation: The endpoint's incarnation.
      fingerprint: Hash of the request's content.
      has_token: Whether the attempt had generated a token.
      now: Monotonic time.

    Returns:
      What is new about the request, without a second break in the same crash.
    """
    self.expire(now)
    key = (endpoint, incarnation)
    involved = crash_evidence.Involvement(has_token, True)
    is_new = self._evidence.add(key, fingerprint, involved, now)
    self._own_break_at.setdefault(key, now)
    if self._is_network(now):
      for recent in self._recent(now):
        self._evidence.withdraw_own(recent)
    crash = self._evidence.find(key)
    if not is_new or crash is None or fingerprint not in crash.involved_by_hash:
      return []
    self.exchange.add_unsent(key, fingerprint)
    return [crash_exchange.NewInvolvement(fingerprint, crash)]

  def record_crash(
      self,
      endpoint: str,
      incarnation: int,
      fingerprint: int,
      has_token: bool,
      at: float,
  ) -> list[crash_exchange.NewInvolvement]:
    """Records a request that ran on an endpoint that is known to have ended.

    Args:
      endpoint: The endpoint.
      incarnation: The endpoint's incarnation.
      fingerprint: Hash of the request's content.
      has_token: Whether the attempt had generated a token.
      at: When the attempt ended, monotonic time.

    Returns:
      What is new about the request.
    """
    key = (endpoint, incarnation)
    involved = crash_evidence.Involvement(has_token, True)
    if not self._evidence.add(key, fingerprint, involved, at):
      return []
    self.exchange.add_unsent(key, fingerprint)
    crash = self._evidence.find(key)
    return [crash_exchange.NewInvolvement(fingerprint, crash)]

  def all_crashes(self) -> list[crash_evidence.Crash]:
    """Returns all known crashes."""
    return self._evidence.all_crashes()

  def crashes(self, fingerprint: int) -> list[crash_evidence.Crash]:
    """Returns the known crashes in which a request was involved."""
    return self._evidence.crashes(fingerprint)

  def record_alive(
      self,
      endpoint: str,
      incarnation: int,
      alive_at: float,
      known_since: float = float('-inf'),
  ) -> list[int]:
    """Withdraws the crash of an incarnation that was alive after it.

    Args:
      endpoint: The endpoint.
      incarnation: Its incarnation.
      alive_at: Time at which it was known to be alive.
      known_since: Time since when it is known to be the same process. It may
        have restarted earlier under the same name.

    Returns:
      The requests that were involved in the crash.
    """
    key = (endpoint, incarnation)
    crash = self._evidence.find(key)
    if crash is None or alive_at <= crash.began_at + ALIVE_MARGIN_S:
      return []
    if known_since > crash.began_at - crash_evidence.REPORT_DELAY_S:
      return []
    involved = list(crash.involved_by_hash)
    self._evidence.disprove(key, alive_at)
    return involved

  def withdraw_own(self, since: float, now: float) -> set[int]:
    """Withdraws the crashes that this host saw since a time, at all hosts.

    Args:
      since: The time.
      now: Monotonic time.

    Returns:
      The requests that were involved in them.
    """
    withdrawn = set()
    for crash in self._evidence.all_crashes():
      if crash.began_at < since:
        continue
      own = [f for f, known in crash.involved_by_hash.items() if known.is_own]
      withdrawal = crash_evidence.Withdrawal(*crash.key, 0.0, tuple(own))
      withdrawn |= self.exchange.withdrawals.withdraw(withdrawal, True, now)
    return withdrawn

  def record_completion(self, fingerprint: int, now: float) -> None:
    """Clears a request that ran to its end without a crash."""
    is_suspect = bool(self._evidence.crashes(fingerprint))
    until = now + COMPLETED_TTL_S
    self._evidence.clear_until(fingerprint, until)
    if is_suspect:
      self.exchange.add_cleared(fingerprint, until, now)

  def set_explained(
      self, explained: tuple[crash_evidence.ExplainedCrashes, ...]
  ) -> bool:
    """Sets which crashes have a known cause; returns whether this is new."""
    is_new = explained != self._explained
    self._explained = explained
    return is_new

  def update_peer(
      self, suspects: tuple[int, ...], refused: tuple[int, ...], now: float
  ) -> None:
    """Records the suspects and the refused requests of a peer."""
    for fingerprint in suspects:
      self._peer_suspect_until[fingerprint] = now + PEER_TTL_S
    for fingerprint in refused:
      # Expired entries are kept, as hosts repeat what they heard from others.
      if fingerprint not in self._refused_by_peer_until:
        self._refused_by_peer_until[fingerprint] = now + QUARANTINE_S
    while len(self._refused_by_peer_until) > MAX_TRACKED:
      self._refused_by_peer_until.popitem(last=False)
    if len(self._peer_suspect_until) > MAX_TRACKED:
      self._expire_peer_suspects(now)

  def verdict(self, fingerprint: int, now: float) -> str:
    """Returns the state of a request.

    Returns:
      `CLEAR`; `SUSPECT` for one that is suspected by this host;
      `TRIED_BY_PEER` for one that a peer is retrying in isolation; `REFUSED`
      for one that must not run. The crashes that other hosts saw count too.
    """
    if self.is_refused(fingerprint, now):
      return REFUSED
    is_tried_by_peer = self._peer_suspect_until.get(fingerprint, 0.0) > now
    if self._evidence.crashes(fingerprint):
      is_tried_here = self._is_own(fingerprint) or not is_tried_by_peer
      if is_tried_here and self._is_suspect(fingerprint, now):
        return SUSPECT
    return TRIED_BY_PEER if is_tried_by_peer else CLEAR

  def is_refused(self, fingerprint: int, now: float) -> bool:
    """Returns whether a request must not run."""
    if self._refused_by_peer_until.get(fingerprint, 0.0) > now:
      return True
    cause = self._judge(fingerprint)
    if cause is _Cause.NO:
      return False
    ttl_s = QUARANTINE_S
    if cause is _Cause.SHARED:
      excess = len(self._evidence.crashes(fingerprint)) - MAX_CRASHES
      ttl_s = min(ttl_s, SHARED_REFUSAL_S * SHARED_REFUSAL_FACTOR**excess)
    return now < self._last_crash_at(fingerprint) + ttl_s

  def is_explained(self, fingerprint: int) -> bool:
    """Returns whether something else caused all crashes of a request.

    As with two requests, only one that was part of more crashes is taken to be
    the cause instead.
    """
    keys = {crash.key for crash in self._evidence.crashes(fingerprint)}
    return any(keys < e.keys for e in self._other_causes(fingerprint))

  def _other_causes(
      self, fingerprint: int
  ) -> list[crash_evidence.ExplainedCrashes]:
    """Returns the explained crashes whose cause the request does not have."""
    key = fingerprint & 0xFFFFFFFF
    return [e for e in self._explained if key not in e.requests]

  def is_strong(self, fingerprint: int) -> bool:
    """Returns whether a suspect has to run in isolation."""
    crashes = self._evidence.crashes(fingerprint)
    if not crashes:
      return False
    return len(crashes) >= CRASHES_TO_REFUSE or _is_strong(fingerprint, crashes)

  def suspects(self, now: float) -> tuple[int, ...]:
    """Returns the suspects of this host, to be sent to peers."""
    suspects = []
    for fingerprint in self._evidence.fingerprints():
      if not self._is_own(fingerprint) or self.is_refused(fingerprint, now):
        continue
      if self._is_suspect(fingerprint, now):
        suspects.append(fingerprint)
    return tuple(suspects[-MAX_ANNOUNCED:])

  def refused(self, now: float) -> tuple[int, ...]:
    """Returns the refused requests, to be sent to peers."""
    refused = []
    for fingerprint, until in self._refused_by_peer_until.items():
      if now < until:
        refused.append(fingerprint)
    for fingerprint in self._evidence.fingerprints():
      is_heard = fingerprint in self._refused_by_peer_until
      if not is_heard and self.is_refused(fingerprint, now):
        refused.append(fingerprint)
    return tuple(refused[-MAX_ANNOUNCED:])

  def _judge(self, fingerprint: int) -> _Cause:
    """Returns whether a request is taken to be the cause of its crashes."""
    crashes = self._evidence.crashes(fingerprint)
    if len(crashes) < CRASHES_TO_REFUSE or self.is_explained(fingerprint):
      return _Cause.NO
    is_only_suspect = self._may_be_only_cause(fingerprint)
    keys = {crash.key for crash in crashes}
    is_shared = any(keys == e.keys for e in self._other_causes(fingerprint))
    cause = _Cause.SHARED if is_shared else _Cause.SOLE
    for other in self._evidence.repeated():
      shared = sum(other in crash.involved_by_hash for crash in crashes)
      if other == fingerprint or not shared:
        continue
      is_longer = len(self._evidence.crashes(other)) > len(crashes)
      if shared == len(crashes) and is_longer:
        return _Cause.NO
      if self._may_be_only_cause(other):
        is_only_suspect = False
        if shared == len(crashes):
          cause = _Cause.SHARED
    if is_only_suspect or len(crashes) >= MAX_CRASHES:
      return cause
    return _Cause.NO

  def _may_be_only_cause(self, fingerprint: int) -> bool:
    """Returns whether a request may be the only cause of several crashes.

    A weak suspect did not run in isolation before its second crash.
    """
    crashes = self._evidence.crashes(fingerprint)
    if len(crashes) < CRASHES_TO_REFUSE:
      return False
    return len(crashes) >= MAX_CRASHES or _is_strong(fingerprint, crashes)

  def _is_suspect(self, fingerprint: int, now: float) -> bool:
    """Returns whether a crash of a request has no other known cause."""
    crashes = self._evidence.crashes(fingerprint)
    if now >= self._last_crash_at(fingerprint) + SUSPECT_TTL_S:
      return False
    causes = [
        other
        for other in self._evidence.repeated()
        if other != fingerprint and self._judge(other) is _Cause.SOLE
    ]
    for crash in crashes:
      if not any(cause in crash.involved_by_hash for cause in causes):
        return True
    return False

  def _is_own(self, fingerprint: int) -> bool:
    """Returns whether this host saw a crash of a request itself."""
    for crash in self._evidence.crashes(fingerprint):
      if crash.involved_by_hash[fingerprint].is_own:
        return True
    return False

  def _last_crash_at(self, fingerprint: int) -> float:
    crashes = self._evidence.crashes(fingerprint)
    return max(crash.began_at for crash in crashes)

  def expire(self, now: float) -> None:
    """Forgets expired suspects and refusals."""
    if now - self._expired_at < EXPIRY_INTERVAL_S:
      return
    self._expired_at = now
    for fingerprint in self._evidence.fingerprints():
      is_old = now >= self._last_crash_at(fingerprint) + SUSPECT_TTL_S
      if is_old and not self.is_refused(fingerprint, now):
        self._evidence.drop(fingerprint)
    self._evidence.expire(now - QUARANTINE_S)

  def _is_network(self, now: float) -> bool:
    recent = self._recent(now)
    if len(recent) < MIN_NETWORK_FAILURE_ENDPOINTS:
      return False
    for key in recent:
      crash = self._evidence.find(key)
      hashes = crash.involved_by_hash if crash is not None else ()
      for fingerprint in hashes:
        if len(self._evidence.crashes(fingerprint)) > 1:
          return False
    return True

  def _recent(self, now: float) -> list[crash_evidence.IncarnationKey]:
    """Returns the endpoints on which attempts of this host broke off lately."""
    while self._own_break_at:
      key, began_at = next(iter(self._own_break_at.items()))
      if now - began_at <= CRASH_WINDOW_S:
        break
      del self._own_break_at[key]
    return list(self._own_break_at)

  def _expire_peer_suspects(self, now: float) -> None:
    for fingerprint, until in list(self._peer_suspect_until.items()):
      if until <= now:
        del self._peer_suspect_until[fingerprint]


def _is_strong(fingerprint: int, crashes: list[crash_evidence.Crash]) -> bool:
  return not any(c.involved_by_hash[fingerprint].has_token for c in crashes)
