"""Requests that crash the endpoints that run them.

When attempts break off on an endpoint, every request that ran there is a
suspect. A suspect is tried again alone: on an endpoint that runs no other
suspect. So the second crash tells which one it was: that request is refused
from then on, and those that ran beside it are cleared. Hosts tell each other
their suspects and what they refuse, so that a caller that sends such a request
again to another host finds it known there.

One that had given tokens before the crash is a weak suspect: most crashes come
with the prefill. Weak suspects are not held back to run alone before their
second crash, and are refused after the third.

Requests are known by a hash of their content, as the caller makes a new id
each time. Many endpoints that break off at once, with no request in common,
are a failed network and no crash; nobody is suspected then. And an incarnation
that reports after the break did not crash: an attempt that was given up for
its silence says nothing about the request.
"""

import collections
from typing import NamedTuple

# A suspect that did not run for this long is cleared.
SUSPECT_TTL_S = 60.0
# A crashing request is refused for this long.
QUARANTINE_S = 600.0
# What a peer tells holds for this long after it told it last.
PEER_TTL_S = 3.0
# Attempts that break off within this time belong to one crash.
CRASH_WINDOW_S = 1.5
# This many endpoints within that time are a failed network.
MIN_NETWORK_FAILURE_ENDPOINTS = 3
# The age of a report is only known about this well.
ALIVE_MARGIN_S = 0.1
CRASHES_TO_REFUSE = 2
MAX_TRACKED = 2000
MAX_ANNOUNCED = 100

CLEAR = 'clear'
SUSPECT = 'suspect'
TRIED_BY_PEER = 'elsewhere'
REFUSED = 'refused'


class Suspect(NamedTuple):
  """A request that ran on an endpoint that crashed.

  Attributes:
    crashes: The crashes that it was part of, by number.
    is_strong: Whether it had no token yet each time: most crashes come with
      the prefill.
    seen_at: When it was last part of one.
  """

  crashes: tuple[int, ...]
  is_strong: bool
  seen_at: float


class Crash(NamedTuple):
  """Attempts that broke off together on one endpoint.

  Attributes:
    number: Grows with every crash.
    endpoint: The endpoint.
    incarnation: The incarnation that ran them.
    began_at: When the first attempt broke off.
    hashes: The requests that ran there; grows while the crash is reported.
  """

  number: int
  endpoint: str
  incarnation: int
  began_at: float
  hashes: set[int]


class Quarantine:
  """Who is suspected, and who is refused."""

  def __init__(self):
    self._suspect_by_hash: collections.OrderedDict[int, Suspect] = (
        collections.OrderedDict()
    )
    self._refused_until: collections.OrderedDict[int, float] = (
        collections.OrderedDict()
    )
    self._crashes_by_refused: dict[int, tuple[int, ...]] = {}
    self._peer_suspect_until: dict[int, float] = {}
    self._crashes: collections.deque[Crash] = collections.deque(maxlen=64)
    self._count = 0

  def record_broken_attempt(
      self,
      endpoint: str,
      incarnation: int,
      fingerprint: int,
      has_token: bool,
      now: float,
  ) -> None:
    """Notes that an attempt broke off after it was sent.

    Args:
      endpoint: Where it ran.
      incarnation: The endpoint's incarnation.
      fingerprint: Hash of the request's content.
      has_token: Whether it had given a token.
      now: Monotonic time.
    """
    crash = self._find_crash(endpoint, incarnation, now)
    crash.hashes.add(fingerprint)
    if self._is_network(now):
      self._drop({crash.number for crash in self._recent(now)})
      return
    old = self._suspect_by_hash.get(fingerprint)
    if old is None or now - old.seen_at > SUSPECT_TTL_S:
      old = Suspect((), True, now)
    if crash.number in old.crashes:
      return
    crashes = (*old.crashes, crash.number)
    suspect = Suspect(crashes, old.is_strong and not has_token, now)
    self._suspect_by_hash[fingerprint] = suspect
    if len(self._suspect_by_hash) > MAX_TRACKED:
      self._suspect_by_hash.popitem(last=False)
    if len(crashes) >= CRASHES_TO_REFUSE:
      self._judge(crash.number, now)

  def record_alive(
      self, endpoint: str, incarnation: int, alive_at: float
  ) -> None:
    """Notes that an incarnation was alive: what broke off before was no crash.

    Args:
      endpoint: The endpoint.
      incarnation: Its incarnation.
      alive_at: When it was seen alive.
    """
    numbers = set()
    for crash in self._crashes:
      if crash.endpoint != endpoint or crash.incarnation != incarnation:
        continue
      if alive_at > crash.began_at + ALIVE_MARGIN_S:
        numbers.add(crash.number)
    if numbers:
      self._drop(numbers)

  def record_completion(self, fingerprint: int) -> None:
    """Notes that a request ran to its end: it crashes nothing."""
    self._suspect_by_hash.pop(fingerprint, None)

  def update_peer(
      self, suspects: tuple[int, ...], refused: tuple[int, ...], now: float
  ) -> None:
    """Takes in what a peer tells."""
    for fingerprint in suspects:
      self._peer_suspect_until[fingerprint] = now + PEER_TTL_S
    for fingerprint in refused:
      if fingerprint not in self._refused_until:
        self._refuse(fingerprint, now)
    if len(self._peer_suspect_until) > MAX_TRACKED:
      self._forget_told(now)

  def verdict(self, fingerprint: int, now: float) -> str:
    """Returns what is known of a request.

    Returns:
      `CLEAR`; `SUSPECT` for one to be run alone; `ELSEWHERE` for one that a
      peer tries out just now; `REFUSED` for one that must not run.
    """
    until = self._refused_until.get(fingerprint)
    if until is not None and now < until:
      return REFUSED
    suspect = self._suspect_by_hash.get(fingerprint)
    if suspect is not None and now - suspect.seen_at < SUSPECT_TTL_S:
      return SUSPECT
    if self._peer_suspect_until.get(fingerprint, 0.0) > now:
      return TRIED_BY_PEER
    return CLEAR

  def is_strong(self, fingerprint: int) -> bool:
    """Tells whether a suspect has to run alone."""
    suspect = self._suspect_by_hash.get(fingerprint)
    if suspect is None:
      return False
    return suspect.is_strong or len(suspect.crashes) >= CRASHES_TO_REFUSE

  def suspects(self, now: float) -> tuple[int, ...]:
    """Returns the own suspects, for the peers."""
    suspects = []
    for fingerprint, suspect in self._suspect_by_hash.items():
      if now - suspect.seen_at < SUSPECT_TTL_S:
        suspects.append(fingerprint)
    return tuple(suspects[-MAX_ANNOUNCED:])

  def refused(self, now: float) -> tuple[int, ...]:
    """Returns what is refused, for the peers."""
    refused = []
    for fingerprint, until in self._refused_until.items():
      if now < until:
        refused.append(fingerprint)
    return tuple(refused[-MAX_ANNOUNCED:])

  def _find_crash(self, endpoint: str, incarnation: int, now: float) -> Crash:
    for crash in reversed(self._crashes):
      if now - crash.began_at > CRASH_WINDOW_S:
        break
      if crash.endpoint == endpoint:
        return crash
    self._count += 1
    crash = Crash(self._count, endpoint, incarnation, now, set())
    self._crashes.append(crash)
    return crash

  def _is_network(self, now: float) -> bool:
    recent = self._recent(now)
    if len(recent) < MIN_NETWORK_FAILURE_ENDPOINTS:
      return False
    count = sum(len(crash.hashes) for crash in recent)
    return count == len(set().union(*(crash.hashes for crash in recent)))

  def _recent(self, now: float) -> list[Crash]:
    recent = []
    for crash in self._crashes:
      if now - crash.began_at <= CRASH_WINDOW_S:
        recent.append(crash)
    return recent

  def _drop(self, numbers: set[int]) -> None:
    """Clears those who are suspected or refused for what was no crash."""
    for fingerprint, suspect in list(self._suspect_by_hash.items()):
      left = tuple(n for n in suspect.crashes if n not in numbers)
      if left:
        kept = suspect._replace(crashes=left)
        self._suspect_by_hash[fingerprint] = kept
      else:
        del self._suspect_by_hash[fingerprint]
    for fingerprint, crashes in list(self._crashes_by_refused.items()):
      if numbers.intersection(crashes):
        del self._crashes_by_refused[fingerprint]
        self._refused_until.pop(fingerprint, None)

  def _judge(self, number: int, now: float) -> None:
    """Refuses the one request that explains two crashes, if there is one."""
    repeated = []
    for fingerprint, suspect in self._suspect_by_hash.items():
      is_part = number in suspect.crashes
      if is_part and len(suspect.crashes) >= CRASHES_TO_REFUSE:
        repeated.append(fingerprint)
    strong = []
    for fingerprint in repeated:
      suspect = self._suspect_by_hash[fingerprint]
      # One that had tokens was not run alone before its second crash.
      if suspect.is_strong or len(suspect.crashes) > CRASHES_TO_REFUSE:
        strong.append(fingerprint)
    repeated = strong
    if len(repeated) != 1:
      return
    (found,) = repeated
    explained = set(self._suspect_by_hash[found].crashes)
    del self._suspect_by_hash[found]
    self._crashes_by_refused[found] = tuple(explained)
    self._refuse(found, now)
    for fingerprint, suspect in list(self._suspect_by_hash.items()):
      if explained.issuperset(suspect.crashes):
        del self._suspect_by_hash[fingerprint]

  def _refuse(self, fingerprint: int, now: float) -> None:
    self._refused_until[fingerprint] = now + QUARANTINE_S
    if len(self._refused_until) > MAX_TRACKED:
      old, _ = self._refused_until.popitem(last=False)
      self._crashes_by_refused.pop(old, None)

  def _forget_told(self, now: float) -> None:
    for fingerprint, until in list(self._peer_suspect_until.items()):
      if until <= now:
        del self._peer_suspect_until[fingerprint]
