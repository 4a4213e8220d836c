"""Holds suspects of a crash until they can run in isolation.

A suspect runs on an endpoint that runs no other suspect. To keep two entry
hosts from sending suspects to the same endpoint, rendezvous hashing over the
entry hosts assigns each endpoint to one host, which alone sends suspects to it
at first.
"""

import collections
from typing import NamedTuple

from mulberrypick.core import quarantine
from mulberrypick.core import rendezvous
from mulberrypick.core import waiting as waiting_base

# Time for which a suspect waits for an endpoint that is assigned to this host.
# After it any endpoint may be used. Weak suspects, which had generated tokens
# before the crash, wait for a shorter time.
OWN_ENDPOINTS_ONLY_S = 2.0
WEAK_OWN_ENDPOINTS_ONLY_S = 0.3
# A request is refused only after the peers were informed, as its caller may
# retry at once on another host. The refusal is delayed by at most this long.
MAX_REFUSAL_DELAY_S = 1.5
MAX_HELD = 1000


class HeldRequest(NamedTuple):
  """A suspected or refused request that is held outside of the queues.

  Attributes:
    queue: Name of the queue of its model.
    waiting: The request.
  """

  queue: str
  waiting: waiting_base.WaitingRequest


class Isolation:
  """The quarantine, and the requests that are held because of it.

  Attributes:
    quarantine: The suspected and refused requests.
    held_by_request: Held requests by request id, oldest first.
  """

  def __init__(self, own_name: str):
    self._own_name = own_name
    self._announced: collections.OrderedDict[int, None] = (
        collections.OrderedDict()
    )
    self._owner_by_endpoint: dict[str, str] = {}
    self._entries: tuple[str, ...] = ()
    self.quarantine = quarantine.Quarantine()
    self.held_by_request: collections.OrderedDict[str, HeldRequest] = (
        collections.OrderedDict()
    )

  def set_entries(self, names: tuple[str, ...]) -> None:
    """Replaces the names of the live entry hosts."""
    if names != self._entries:
      self._entries = names
      self._owner_by_endpoint = {}

  def must_hold(self, fingerprint: int, is_retry: bool, now: float) -> bool:
    """Returns whether to hold a request that is suspected or refused."""
    if len(self.held_by_request) >= MAX_HELD:
      return False
    verdict = self.quarantine.verdict(fingerprint, now)
    if verdict == quarantine.SUSPECT:
      return True
    if verdict == quarantine.TRIED_BY_PEER:
      return not is_retry
    return verdict == quarantine.REFUSED

  def may_refuse(self, held: HeldRequest, now: float) -> bool:
    """Returns whether a request may be refused now.

    This is the case once the peers know of the refusal, and at the latest after
    `MAX_REFUSAL_DELAY_S`.
    """
    if held.waiting.fingerprint in self._announced:
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
      # It failed on every endpoint: retry one of them instead of waiting for
      # the deadline.
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
    """Returns the suspects and the refused requests to be sent to peers now.

    The refused ones count as known to the peers from now on.
    """
    self.quarantine.expire(now)
    refused = self.quarantine.refused(now)
    self._mark_announced(refused)
    return self.quarantine.suspects(now), refused

  def update_peer(
      self, suspects: tuple[int, ...], refused: tuple[int, ...], now: float
  ) -> None:
    """Records the suspects and the refused requests of a peer."""
    self.quarantine.update_peer(suspects, refused, now)
    self._mark_announced(refused)

  def _mark_announced(self, refused: tuple[int, ...]) -> None:
    for fingerprint in refused:
      self._announced[fingerprint] = None
    while len(self._announced) > quarantine.MAX_TRACKED:
      self._announced.popitem(last=False)

  def _owner(self, endpoint: str) -> str:
    if not self._entries:
      return self._own_name
    owner = self._owner_by_endpoint.get(endpoint)
    if owner is None:
      owner = rendezvous.rank(f'suspects/{endpoint}', self._entries)[0]
      self._owner_by_endpoint[endpoint] = owner
    return owner
