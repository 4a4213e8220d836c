"""Finds and refuses requests that crash the endpoints that run them.

When attempts break off on an endpoint, every request that ran there becomes a
suspect. A suspect is retried in isolation: on an endpoint that runs no other
suspect. A second crash therefore identifies the request that caused both: it
is refused from then on, and the requests that ran beside it are cleared. Hosts
exchange their suspects and refused requests, so that a request that its caller
sends again to another host is recognized there.

A request that had generated tokens before the crash is a weak suspect, because
most crashes happen during prefill. Weak suspects are not isolated before their
second crash, and are refused after the third.

Requests are identified by a hash of their content, as the caller makes a new
id each time. If several endpoints break off at once and have no request in
common, the network failed: nobody is suspected. An incarnation that sends a
load report after the break did not crash either: an attempt that was given up
because the endpoint was silent says nothing about the request.
"""

import collections
from typing import NamedTuple

# A suspect is cleared this long after its last crash.
SUSPECT_TTL_S = 60.0
# A request that crashes endpoints is refused for this long.
QUARANTINE_S = 600.0
# Suspects reported by a peer expire this long after its last report.
PEER_TTL_S = 3.0
# Attempts that break off on one endpoint within this time are one crash.
CRASH_WINDOW_S = 1.5
# If attempts break off on this many endpoints within `CRASH_WINDOW_S`, with no
# request in common, the network is taken to have failed.
MIN_NETWORK_FAILURE_ENDPOINTS = 3
# Uncertainty of the age of a load report.
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
    crashes: Numbers of the crashes during which it ran.
    is_strong: Whether it had generated no token in any of them; most crashes
      happen during prefill.
    seen_at: Time of the last crash.
  """

  crashes: tuple[int, ...]
  is_strong: bool
  seen_at: float


class Crash(NamedTuple):
  """Attempts that broke off together on one endpoint.

  Attributes:
    number: Sequence number of the crash.
    endpoint: The endpoint.
    incarnation: The incarnation that ran the attempts.
    began_at: Time at which the first attempt broke off.
    hashes: Hashes of the requests that ran there; grows while attempts of this
      crash end.
  """

  number: int
  endpoint: str
  incarnation: int
  began_at: float
  hashes: set[int]


class Quarantine:
  """Tracks suspected and refused requests."""

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
    """Records that an attempt broke off after it was sent.

    Args:
      endpoint: The endpoint that ran it.
      incarnation: The endpoint's incarnation.
      fingerprint: Hash of the request's content.
      has_token: Whether the attempt had generated a token.
      now: Monotonic time.
    """
    crash = self._find_crash(endpoint, incarnation, now)
    crash.hashes.add(fingerprint)
    if self._is_network(now):
      self._withdraw_crashes({crash.number for crash in self._recent(now)})
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
      self._refuse_repeated(crash.number, now)

  def record_alive(
      self, endpoint: str, incarnation: int, alive_at: float
  ) -> None:
    """Withdraws the crashes after which an incarnation was still alive.

    Args:
      endpoint: The endpoint.
      incarnation: Its incarnation.
      alive_at: Time at which it was known to be alive.
    """
    numbers = set()
    for crash in self._crashes:
      if crash.endpoint != endpoint or crash.incarnation != incarnation:
        continue
      if alive_at > crash.began_at + ALIVE_MARGIN_S:
        numbers.add(crash.number)
    if numbers:
      self._withdraw_crashes(numbers)

  def record_completion(self, fingerprint: int) -> None:
    """Clears a request that ran to its end without a crash."""
    self._suspect_by_hash.pop(fingerprint, None)

  def update_peer(
      self, suspects: tuple[int, ...], refused: tuple[int, ...], now: float
  ) -> None:
    """Records the suspects and the refused requests of a peer."""
    for fingerprint in suspects:
      self._peer_suspect_until[fingerprint] = now + PEER_TTL_S
    for fingerprint in refused:
      if fingerprint not in self._refused_until:
        self._refuse(fingerprint, now)
    if len(self._peer_suspect_until) > MAX_TRACKED:
      self._expire_peer_suspects(now)

  def verdict(self, fingerprint: int, now: float) -> str:
    """Returns the state of a request.

    Returns:
      `CLEAR`; `SUSPECT` for one that is suspected by this host;
      `TRIED_BY_PEER` for one that a peer is retrying in isolation; `REFUSED`
      for one that must not run.
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
    """Returns whether a suspect has to run in isolation."""
    suspect = self._suspect_by_hash.get(fingerprint)
    if suspect is None:
      return False
    return suspect.is_strong or len(suspect.crashes) >= CRASHES_TO_REFUSE

  def suspects(self, now: float) -> tuple[int, ...]:
    """Returns the suspects of this host, to be sent to peers."""
    suspects = []
    for fingerprint, suspect in self._suspect_by_hash.items():
      if now - suspect.seen_at < SUSPECT_TTL_S:
        suspects.append(fingerprint)
    return tuple(suspects[-MAX_ANNOUNCED:])

  def refused(self, now: float) -> tuple[int, ...]:
    """Returns the refused requests, to be sent to peers."""
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

  def _withdraw_crashes(self, numbers: set[int]) -> None:
    """Clears the requests that are suspected or refused for these crashes."""
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

  def _refuse_repeated(self, number: int, now: float) -> None:
    """Refuses the request behind repeated crashes, if there is only one."""
    repeated = []
    for fingerprint, suspect in self._suspect_by_hash.items():
      is_part = number in suspect.crashes
      if is_part and len(suspect.crashes) >= CRASHES_TO_REFUSE:
        repeated.append(fingerprint)
    strong = []
    for fingerprint in repeated:
      suspect = self._suspect_by_hash[fingerprint]
      # A weak suspect, one that had generated tokens before a crash, did not
      # run in isolation before its second crash.
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

  def _expire_peer_suspects(self, now: float) -> None:
    for fingerprint, until in list(self._peer_suspect_until.items()):
      if until <= now:
        del self._peer_suspect_until[fingerprint]
