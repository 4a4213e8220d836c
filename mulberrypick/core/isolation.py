"""Suspects of a crash that wait to be run alone, and where each may run.

A suspect runs on an endpoint without another suspect. So that two entry hosts
don't put suspects on the same one, each host uses endpoints of its own for
that, by rendezvous hashing over the entry hosts.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import quarantine
from mulberrypick.core import rendezvous
from mulberrypick.core import waiting as waiting_base

# After this long without one of its own, a host uses any endpoint.
OWN_ENDPOINTS_ONLY_S = 2.0
WEAK_OWN_ENDPOINTS_ONLY_S = 0.3
# A refusal waits until the peers know of it, but not longer than this: its
# caller may come back at once, to another host.
MAX_REFUSAL_DELAY_S = 1.5
MAX_HELD = 1000


class HeldRequest(NamedTuple):
  """A request that waits outside of the queues.

  Attributes:
    queue: Name of its queue.
    waiting: The request.
  """

  queue: str
  waiting: waiting_base.WaitingRequest


class Isolation:
  """The quarantine, and the requests that wait for its verdict."""

  def __init__(self, own_name: str):
    self._own_name = own_name
    self._told: collections.OrderedDict[int, None] = collections.OrderedDict()
    self._owner_by_endpoint: dict[str, str] = {}
    self._entries: tuple[str, ...] = ()
    self.quarantine = quarantine.Quarantine()
    self.held_by_request: collections.OrderedDict[str, HeldRequest] = (
        collections.OrderedDict()
    )

  def set_entries(self, names: tuple[str, ...]) -> None:
    """Takes in the names of the live entry hosts."""
    if names != self._entries:
      self._entries = names
      self._owner_by_endpoint = {}

  def must_hold(self, fingerprint: int, is_retry: bool, now: float) -> bool:
    """Tells whether a request has to wait outside of the queues."""
    if len(self.held_by_request) >= MAX_HELD:
      return False
    verdict = self.quarantine.verdict(fingerprint, now)
    if verdict == quarantine.SUSPECT:
      return True
    if verdict == quarantine.TRIED_BY_PEER:
      return not is_retry
    return verdict == quarantine.REFUSED

  def may_refuse(self, held: HeldRequest, now: float) -> bool:
    """Tells whether the peers know that a request is refused."""
    if held.waiting.fingerprint in self._told:
      return True
    return now - held.waiting.queued_at >= MAX_REFUSAL_DELAY_S

  def excluded(
      self,
      held: HeldRequest,
      endpoints: list[str],
      suspect_endpoints: tuple[str, ...],
      now: float,
  ) -> tuple[str, ...]:
    """Returns the endpoints that a suspect must not run on."""
    excluded = set(held.waiting.failed_endpoints)
    if excluded.issuperset(endpoints):
      # Better an endpoint that it was on before than to wait for a deadline.
      excluded.clear()
    excluded.update(suspect_endpoints)
    own_only_s = OWN_ENDPOINTS_ONLY_S
    if not self.quarantine.is_strong(held.waiting.fingerprint):
      own_only_s = WEAK_OWN_ENDPOINTS_ONLY_S
    if now - held.waiting.queued_at >= own_only_s:
      return tuple(excluded)
    for endpoint in endpoints:
      if self._owner(endpoint) != self._own_name:
        excluded.add(endpoint)
    return tuple(excluded)

  def make_digest(self, now: float) -> tuple[tuple[int, ...], tuple[int, ...]]:
    """Returns the suspects and what is refused, as the peers are told now."""
    refused = self.quarantine.refused(now)
    self._mark_told(refused)
    return self.quarantine.suspects(now), refused

  def update_peer(
      self, suspects: tuple[int, ...], refused: tuple[int, ...], now: float
  ) -> None:
    """Takes in what a peer tells."""
    self.quarantine.update_peer(suspects, refused, now)
    self._mark_told(refused)

  def _mark_told(self, refused: tuple[int, ...]) -> None:
    for fingerprint in refused:
      self._told[fingerprint] = None
    while len(self._told) > quarantine.MAX_TRACKED:
      self._told.popitem(last=False)

  def _owner(self, endpoint: str) -> str:
    if not self._entries:
      return self._own_name
    owner = self._owner_by_endpoint.get(endpoint)
    if owner is None:
      owner = rendezvous.rank(f'suspects/{endpoint}', self._entries)[0]
      self._owner_by_endpoint[endpoint] = owner
    return owner
