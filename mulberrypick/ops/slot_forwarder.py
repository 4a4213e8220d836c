"""Gathers the changes of a slot at one entry host, so that groups don't race.

With several hosts writing the same slots most conditional updates meet a
conflict. Each slot has therefore a preferred writer, by rendezvous hash over
the hosts that are known to live, and the others send their changes to it. This
is a hint and not a lock: hosts may disagree, a forwarded change may be lost,
and it may be applied late and twice. All changes are idempotent by nonce and go
through the conditional update wherever they are applied, so that whoever gets
no answer in time writes the slot itself.

A preferred writer that stayed silent is passed over for a while, and the next
one in the order of the hash takes its place, the same one for all hosts. One
that says that it could not write is not: its platform may be back with the
next group, and hosts that each write for themselves meet many conflicts.
"""

import itertools
import queue
import threading
import time
from collections.abc import Callable
from collections.abc import Sequence
from typing import NamedTuple

import msgspec
import xxhash

from mulberrypick.adapters import peers as peers_lib
from mulberrypick.core import claims

KIND_CHANGES = 'claim-changes'
KIND_OUTCOMES = 'claim-outcomes'
FORWARD_TIMEOUT_S = 1.0
UNRESPONSIVE_EXCLUSION_S = 10.0
# Changes of one message, each with an answer of bounded size.
MAX_FORWARDED_CHANGES = 200

Outcomes = list[claims.Outcome] | None


class ChangesMessage(NamedTuple):
  """Changes of one slot on their way to its preferred writer.

  Attributes:
    number: Number of the message at its sender.
    reply_address: `ip:port` of the sender's peer socket.
    changes: The changes.
  """

  number: int
  reply_address: str
  changes: list[claims.Change]


class OutcomesMessage(NamedTuple):
  """What became of forwarded changes; None if they were not written."""

  number: int
  outcomes: list[claims.Outcome] | None


class SlotForwarder:
  """Sends changes to the preferred writer of their slot."""

  def __init__(
      self,
      peers: peers_lib.Peers,
      own_address: str,
      list_peers: Callable[[], Sequence[str]],
      apply: Callable[[list[claims.Change], Callable[[Outcomes], None]], None],
  ):
    """Registers the handlers.

    Args:
      peers: Carries the messages; not started yet.
      own_address: `ip:port` at which other entry hosts reach this one.
      list_peers: Lists the peer addresses of the hosts that are known to live.
      apply: Queues changes here, and passes the outcomes on.
    """
    self._peers = peers
    self._own_address = own_address
    self._list_peers = list_peers
    self._apply = apply
    self._lock = threading.Lock()
    self._numbers = itertools.count(1)
    self._replies_by_number: dict[int, queue.SimpleQueue[Outcomes]] = {}
    self._excluded_until_by_address: dict[str, float] = {}
    peers.register_handler(KIND_CHANGES, self._handle_changes)
    peers.register_handler(KIND_OUTCOMES, self._handle_outcomes)

  def find_writer(self, slot: int) -> str:
    """Returns the address of a slot's preferred writer, empty for this host."""
    now = time.monotonic()
    addresses = {self._own_address}
    for address in self._list_peers():
      if self._excluded_until_by_address.get(address, 0.0) <= now:
        addresses.add(address)

    def rank(address: str) -> int:
      return xxhash.xxh64_intdigest(f'{slot}|{address}'.encode())

    address = max(addresses, key=rank)
    return '' if address == self._own_address else address

  def forward(self, address: str, changes: list[claims.Change]) -> Outcomes:
    """Sends changes to a writer, and waits for their outcomes.

    Returns:
      The outcomes; None if the changes may or may not have been applied.
    """
    number = next(self._numbers)
    replies: queue.SimpleQueue[Outcomes] = queue.SimpleQueue()
    with self._lock:
      self._replies_by_number[number] = replies
    message = ChangesMessage(number, self._own_address, changes)
    self._peers.send(address, KIND_CHANGES, msgspec.msgpack.encode(message))
    outcomes = None
    try:
      outcomes = replies.get(timeout=FORWARD_TIMEOUT_S)
    except queue.Empty:
      self._exclude_writer(address)
    with self._lock:
      del self._replies_by_number[number]
    return outcomes

  def _exclude_writer(self, address: str) -> None:
    now = time.monotonic()
    with self._lock:
      kept = {
          a: t for a, t in self._excluded_until_by_address.items() if t > now
      }
      kept[address] = now + UNRESPONSIVE_EXCLUSION_S
      self._excluded_until_by_address = kept

  def _handle_changes(self, sender: str, body: bytes) -> None:
    message = msgspec.msgpack.decode(body, type=ChangesMessage)

    def send_reply(outcomes: Outcomes) -> None:
      reply = OutcomesMessage(message.number, outcomes)
      encoded = msgspec.msgpack.encode(reply)
      self._peers.send(message.reply_address, KIND_OUTCOMES, encoded)

    self._apply(message.changes, send_reply)

  def _handle_outcomes(self, sender: str, body: bytes) -> None:
    message = msgspec.msgpack.decode(body, type=OutcomesMessage)
    with self._lock:
      replies = self._replies_by_number.get(message.number)
    if replies is not None:
      replies.put(message.outcomes)
