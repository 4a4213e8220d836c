"""Records which requests ran on which endpoints when these crashed."""

import collections
from collections.abc import Iterable
from typing import NamedTuple

# Requests that are tracked. If there are more, those that were part of only one
# crash are dropped first, the oldest first.
MAX_TRACKED = 2000
# Requests that completed lately, of which this is remembered.
MAX_CLEARED = 10_000
# Longest delay of a report between two hosts, by which the time of a crash may
# be taken for a later one.
REPORT_DELAY_S = 1.0

# Name of an endpoint, and its incarnation.
IncarnationKey = tuple[str, int]


class Involvement(NamedTuple):
  """How a request was involved in a crash.

  Attributes:
    has_token: Whether it had generated a token before; most crashes happen
      during prefill.
    is_own: Whether this host saw its attempt break off.
    source: Name of the other host that reported it first, empty without one.
  """

  has_token: bool
  is_own: bool
  source: str = ''


class Crash:
  """The crash of one incarnation of an endpoint.

  Attributes:
    key: The incarnation. It can crash only once.
    began_at: Time at which the first attempt broke off.
    involved_by_hash: The requests that ran there, by fingerprint.
    disproved_at: Latest time at which the incarnation is known to have been
      alive, so that breaks before it were no crash.
  """

  def __init__(self, key: IncarnationKey, began_at: float):
    self.key = key
    self.began_at = began_at
    self.involved_by_hash: dict[int, Involvement] = {}
    self.disproved_at = float('-inf')


class Withdrawal(NamedTuple):
  """Requests that a host reported, although its connections had been cut.

  Attributes:
    endpoint: Name of the endpoint.
    incarnation: The incarnation that did not crash by what the host knows.
    age_s: Time since the host found that it had been cut off. Hosts share no
      clock.
    requests: Hashes of the requests.
  """

  endpoint: str
  incarnation: int
  age_s: float
  requests: tuple[int, ...]


class ExplainedCrashes(NamedTuple):
  """Crashes whose cause is known to be something else than one request.

  Attributes:
    keys: The incarnations that crashed.
    requests: Last 32 bits of the hashes of the requests that have the cause.
  """

  keys: frozenset[IncarnationKey]
  requests: frozenset[int]


class CrashEvidence:
  """Crashes, and the requests that were involved in them."""

  def __init__(self):
    self._crash_by_key: dict[IncarnationKey, Crash] = {}
    self._crashes_by_hash: collections.OrderedDict[int, list[Crash]] = (
        collections.OrderedDict()
    )
    # Requests whose involvement in a crash was withdrawn, and when.
    self._withdrawn_at: collections.OrderedDict[
        tuple[IncarnationKey, int], float
    ] = collections.OrderedDict()
    self._repeated: set[int] = set()
    self._cleared_until: collections.OrderedDict[int, float] = (
        collections.OrderedDict()
    )

  def add(
      self,
      key: IncarnationKey,
      fingerprint: int,
      involved: Involvement,
      at: float,
  ) -> bool:
    """Adds a request that was involved in a crash; returns whether it is new.

    Args:
      key: The incarnation that crashed.
      fingerprint: The request.
      involved: How it was involved.
      at: When its attempt broke off.
    """
    crash = self._crash_by_key.get(key)
    if crash is None:
      crash = self._crash_by_key[key] = Crash(key, at)
    if at <= crash.disproved_at:
      return False
    if at <= self.cleared_until(fingerprint):
      return False
    if at <= self._withdrawn_at.get((key, fingerprint), float('-inf')):
      return False
    if not crash.involved_by_hash:
      crash.began_at = at
    crash.began_at = min(crash.began_at, at)
    old = crash.involved_by_hash.get(fingerprint)
    if old is None:
      crashes = self._crashes_by_hash.setdefault(fingerprint, [])
      crashes.append(crash)
      if len(crashes) > 1:
        self._repeated.add(fingerprint)
      self._drop_excess(fingerprint)
    else:
      involved = Involvement(
          old.has_token or involved.has_token,
          old.is_own or involved.is_own,
          old.source or involved.source,
      )
    crash.involved_by_hash[fingerprint] = involved
    return old is None or involved.has_token != old.has_token

  def find(self, key: IncarnationKey) -> Crash | None:
    """Returns the crash of an incarnation, None if none is known."""
    crash = self._crash_by_key.get(key)
    return crash if crash is not None and crash.involved_by_hash else None

  def all_crashes(self) -> list[Crash]:
    """Returns all crashes in which a request was involved."""
    return [c for c in self._crash_by_key.values() if c.involved_by_hash]

  def crashes(self, fingerprint: int) -> list[Crash]:
    """Returns the crashes in which a request was involved."""
    return self._crashes_by_hash.get(fingerprint, [])

  def fingerprints(self) -> list[int]:
    """Returns all requests that were involved in a crash, oldest first."""
    return list(self._crashes_by_hash)

  def repeated(self) -> set[int]:
    """Returns the requests that were involved in more than one crash."""
    return self._repeated

  def disprove(self, key: IncarnationKey, alive_at: float) -> None:
    """Drops a crash because its incarnation was alive later."""
    crash = self._crash_by_key[key]
    crash.disproved_at = max(crash.disproved_at, alive_at)
    for fingerprint in list(crash.involved_by_hash):
      self._remove(crash, fingerprint)

  def withdraw_own(self, key: IncarnationKey) -> None:
    """Removes from a crash the requests that only this host reported."""
    crash = self._crash_by_key[key]
    for fingerprint, involved in list(crash.involved_by_hash.items()):
      if not involved.source:
        self._remove(crash, fingerprint)

  def withdraw(
      self, key: IncarnationKey, requests: Iterable[int], at: float
  ) -> set[int]:
    """Withdraws the involvement of requests in a crash up to a time.

    Other hosts may still repeat it for a moment.

    Args:
      key: The incarnation.
      requests: The requests.
      at: The time.

    Returns:
      The requests for which this is new.
    """
    crash = self._crash_by_key.get(key)
    withdrawn = set()
    for fingerprint in requests:
      if at <= self._withdrawn_at.get((key, fingerprint), float('-inf')):
        continue
      withdrawn.add(fingerprint)
      self._withdrawn_at[key, fingerprint] = at
      if len(self._withdrawn_at) > MAX_CLEARED:
        self._withdrawn_at.popitem(last=False)
      if crash is not None and fingerprint in crash.involved_by_hash:
        self._remove(crash, fingerprint)
    return withdrawn

  def cleared_until(self, fingerprint: int) -> float:
    """Returns the time up to which a request is known to cause no crash."""
    return self._cleared_until.get(fingerprint, float('-inf'))

  def clear_until(self, fingerprint: int, until: float) -> bool:
    """Drops a request from its crashes up to a time; returns if this is new."""
    if until <= self.cleared_until(fingerprint):
      return False
    self._cleared_until[fingerprint] = until
    self._cleared_until.move_to_end(fingerprint)
    if len(self._cleared_until) > MAX_CLEARED:
      self._cleared_until.popitem(last=False)
    for crash in list(self._crashes_by_hash.get(fingerprint, ())):
      if crash.began_at <= until:
        self._remove(crash, fingerprint)
    return True

  def drop(self, fingerprint: int) -> None:
    """Removes a request from all crashes."""
    self._repeated.discard(fingerprint)
    for crash in self._crashes_by_hash.pop(fingerprint, ()):
      crash.involved_by_hash.pop(fingerprint, None)

  def expire(self, before: float) -> None:
    """Forgets crashes without requests that began before a time."""
    for key, crash in list(self._crash_by_key.items()):
      if not crash.involved_by_hash and crash.began_at < before:
        del self._crash_by_key[key]

  def _remove(self, crash: Crash, fingerprint: int) -> None:
    del crash.involved_by_hash[fingerprint]
    crashes = self._crashes_by_hash[fingerprint]
    crashes.remove(crash)
    if len(crashes) < 2:
      self._repeated.discard(fingerprint)
    if not crashes:
      del self._crashes_by_hash[fingerprint]

  def _drop_excess(self, newest: int) -> None:
    if len(self._crashes_by_hash) <= MAX_TRACKED:
      return
    oldest = next(iter(self._crashes_by_hash))
    for fingerprint, crashes in self._crashes_by_hash.items():
      if len(crashes) == 1 and fingerprint != newest:
        oldest = fingerprint
        break
    self.drop(oldest)
