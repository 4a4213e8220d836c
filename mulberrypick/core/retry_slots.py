"""Times that refused requests were told to come back at.

A refused request is told a time when there will be room, and that room is
booked for it. Those that come back then are known by their content, on any
entry host, as hosts tell each other what they booked. Nothing stands idle for
those that don't come back: a booking lets its request go first, and no more.
"""

import collections

import xxhash

MAX_RETRY_SLOTS = 10000
MAX_UNSENT_SLOTS = 200


def retry_slot_key(tenant: str, fingerprint: int) -> int:
  """Returns the key of a request's booking."""
  return xxhash.xxh64_intdigest(f'{tenant}|{fingerprint}'.encode())


class RetrySlots:
  """A bounded memory of bookings, own and told by peers."""

  def __init__(self, max_retry_slots: int = MAX_RETRY_SLOTS):
    self._max_retry_slots = max_retry_slots
    self._slot_by_key: collections.OrderedDict[int, float] = (
        collections.OrderedDict()
    )
    self._unsent: collections.deque[int] = collections.deque(
        maxlen=MAX_UNSENT_SLOTS
    )

  def assign(self, key: int, slot_at: float) -> None:
    """Books a time here."""
    self._store(key, slot_at)
    self._unsent.append(key)

  def redeem(self, key: int, now: float) -> bool:
    """Tells whether a request comes back when it was told to."""
    slot_at = self._slot_by_key.get(key)
    if slot_at is None or now < slot_at:
      return False
    del self._slot_by_key[key]
    return True

  def take_unsent(self, now: float) -> dict[int, float]:
    """Returns the seconds until each booking that peers don't know yet."""
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
    """Takes in what a peer booked."""
    for key, seconds in retry_delay_by_key.items():
      self._store(key, now + seconds)

  def _store(self, key: int, slot_at: float) -> None:
    self._slot_by_key[key] = slot_at
    if len(self._slot_by_key) > self._max_retry_slots:
      self._slot_by_key.popitem(last=False)
