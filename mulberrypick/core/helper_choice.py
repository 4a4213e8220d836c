"""Chooses the host that a request is passed on to.

A host that reaches no endpoint passes requests on to one that does, a helper.
Helpers of its own zone come first, as traffic between zones is costly, until
they have much to do. Of two drawn at random the one with less work is taken, so
that late reports do not send everything to one helper.
"""

import random
from typing import NamedTuple

# A helper that was not heard of for this long is not used.
MAX_SILENCE_S = 1.5
# A helper that reached no endpoint for this long is not used.
MAX_REACHED_AGE_S = 4.0
# Requests that a helper works on for other hosts, from which on those of other
# zones are used too.
MAX_LOCAL_REQUESTS = 24
# A host that was not heard of for this long is forgotten.
FORGET_S = 60.0
# A helper that did not take a request gets none for this long.
DECLINED_PAUSE_S = 0.25


class Helper(NamedTuple):
  """A host as it last described itself.

  Attributes:
    name: Name of the host.
    ip: Its IP address.
    port: Port on which it takes requests of other hosts.
    zone: Its availability zone.
    taken: Requests of other hosts that it works on.
    is_reaching: Whether it takes requests; False if it is cut off from all
      endpoints.
    is_sure: Whether it does not suspect to be cut off.
    reached_at: When it last reached an endpoint, on this host's clock.
    heard_at: When it said so.
    is_leaving: Whether it is shutting down. It takes requests for as long as it
      takes those of its own callers.
  """

  name: str
  ip: str
  port: int
  zone: str
  taken: int
  is_reaching: bool
  reached_at: float
  heard_at: float
  is_sure: bool = True
  is_leaving: bool = False


class HelperChoice:
  """The hosts that may help, and the requests passed on to each."""

  def __init__(self, zone: str, rng: random.Random):
    self._zone = zone
    self._rng = rng
    self._by_name: dict[str, Helper] = {}
    self._passed_on: dict[str, int] = {}
    self._declined_at: dict[str, float] = {}

  def update(self, helper: Helper) -> None:
    """Adds a host, or replaces what it said before."""
    self._by_name[helper.name] = helper
    for name, known in list(self._by_name.items()):
      if helper.heard_at - known.heard_at > FORGET_S:
        self.remove(name)

  def mark_leaving(self, name: str, now: float) -> None:
    """Uses a host only if there is no other one."""
    known = self._by_name.get(name)
    if known is not None:
      self._by_name[name] = known._replace(is_leaving=True, heard_at=now)

  def remove(self, name: str) -> None:
    """Removes a host that is gone."""
    self._by_name.pop(name, None)
    self._declined_at.pop(name, None)

  def find(self, name: str) -> Helper | None:
    """Returns a host by its name, None if it never described itself."""
    return self._by_name.get(name)

  def usable(self, now: float) -> list[Helper]:
    """Returns the hosts to which requests may be passed on.

    Those that are leaving are used only if there is no other one.
    """
    usable, leaving = [], []
    for helper in self._by_name.values():
      if not helper.port or not helper.is_reaching:
        continue
      if now - helper.heard_at > MAX_SILENCE_S:
        continue
      if now - helper.reached_at > MAX_REACHED_AGE_S:
        continue
      (leaving if helper.is_leaving else usable).append(helper)
    return usable or leaving

  def choose(self, excluded: set[str], now: float) -> Helper | None:
    """Returns the host to pass a request on to, None if there is none.

    Args:
      excluded: Names of hosts that must not be chosen.
      now: Time on the event loop's clock.
    """
    local, remote = [], []
    for helper in self.usable(now):
      declined_at = self._declined_at.get(helper.name, float('-inf'))
      if helper.name in excluded or now - declined_at < DECLINED_PAUSE_S:
        continue
      if helper.zone == self._zone and self._load(helper) < MAX_LOCAL_REQUESTS:
        local.append(helper)
        continue
      remote.append(helper)
    candidates = local or remote
    if not candidates:
      return None
    drawn = self._rng.sample(candidates, min(2, len(candidates)))
    return min(drawn, key=self._load)

  def begin(self, name: str) -> None:
    """Counts a request that is passed on."""
    self._passed_on[name] = self._passed_on.get(name, 0) + 1

  def end(self, name: str) -> None:
    """Counts a request that ended."""
    left = self._passed_on[name] - 1
    if left:
      self._passed_on[name] = left
    else:
      del self._passed_on[name]

  def record_declined(self, name: str, now: float) -> None:
    """Records that a host did not take a request."""
    self._declined_at[name] = now

  def _load(self, helper: Helper) -> int:
    return max(helper.taken, self._passed_on.get(helper.name, 0))
