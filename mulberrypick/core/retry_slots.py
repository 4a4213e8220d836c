"""Retry slots: the times at which refused requests may try again.

A refused request is given a time at which capacity is expected, its retry slot.
When the request returns, it is recognised by its content, on any entry host,
because hosts exchange the slots that they assign. No capacity is left idle for
requests that never return: a slot only exempts the retry from a refusal because
of its predicted wait.
"""

import collections

import xxhash

MAX_RETRY_SLOTS = 10000
MAX_UNSENT_SLOTS = 200


def retry_slot_key(tenant: str, fingerprint: int) -> int:
  """Returns the key by which a returning request finds its retry time."""
  return xxhash.xxh64_intdigest(f'{tenant}|{fingerprint}'.encode())


class RetrySlots:
  """A bounded store of retry times, assigned by this host and its peers."""

  def __init__(self, max_retry_slots: int = MAX_RETRY_SLOTS):
    self._max_retry_slots = max_retry_slots
    self._slot_by_key: collections.OrderedDict[int, float] = (
        collections.OrderedDict()
    )
    self._unsent: collections.deque[int] = collections.deque(
        maxlen=MAX_UNSENT_SLOTS
    )

  def assign(self, key: int, slot_at: float) -> None:
    """Stores the retry time of a request that this host refused."""
    self._store(key, slot_at)
    self._unsent.append(key)

  def redeem(self, key: int, now: float) -> bool:
    """Removes a request's retry time if it has come; returns whether it has."""
    slot_at = self._slot_by_key.get(key)
    if slot_at is None or now < slot_at:
      return False
    del self._slot_by_key[key]
    return True

  def take_unsent(self, now: float) -> dict[int, float]:
    """Returns the seconds until each retry time not yet sent to the peers."""
    retry_delay_by_key = {}
    for key in self._unsent:
      slot_at = self._slot_by_key.get(key)
      if slot_at is not None:
        retry_delay_by_key[key] = round(max(0.0, slot_at - now), 2)
    self._unsent.clear()
    return retry_delay_by_key

  def update_peer(
      self, retry_delay_by_key: dict[int, float], now: float
  ) -> None:
    """Adds the retry times that a peer assigned."""
    for key, seconds in retry_delay_by_key.items():
      self._store(key, now + seconds)

  def _store(self, key: int, slot_at: float) -> None:
    self._slot_by_key[key] = slot_at
    if len(self._slot_by_key) > self._max_retry_slots:
      self._slot_by_key.popitem(last=False)
