"""Forwards the changes of a slot to one entry host, to avoid write conflicts.

A slot is one object of the platform, which holds the claims of many keys; see
`core/claims.py`. If several hosts write the same slot, most of their
conditional updates fail with a conflict. Each slot therefore has a preferred
writer, chosen by rendezvous hashing over the known live hosts, and the other
hosts forward their changes to it. This is a hint and not a lock: hosts may
disagree about the writer, and a forwarded change may be lost, applied late, or
applied twice. All changes are idempotent by nonce and are applied by
conditional update on any host, so a host that gets no reply in time writes the
slot itself.

A preferred writer that does not reply is excluded for a while, and the next
host in the order of the hash replaces it, the same one for all hosts. A writer
that replies that it could not write is not excluded: it may reach the platform
again with the next group, and hosts that each write for themselves cause many
conflicts.
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
# Maximum number of changes in one message. Each may carry an answer of bounded
# size.
MAX_FORWARDED_CHANGES = 200

Outcomes = list[claims.Outcome] | None


class ChangesMessage(NamedTuple):
  """A message that forwards changes of one slot to its preferred writer.

  Attributes:
    number: Sequence number of the message at its sender.
    reply_address: `ip:port` of the sender's peer socket.
    changes: The changes.
  """

  number: int
  reply_address: str
  changes: list[claims.Change]


class OutcomesMessage(NamedTuple):
  """The outcomes of forwarded changes.

  Attributes:
    number: Sequence number of the `ChangesMessage` that this replies to.
    outcomes: One outcome for each change; None unless all changes were
      processed.
  """

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
      peers: Sends and receives the messages; must not be started yet.
      own_address: `ip:port` at which other entry hosts reach this one.
      list_peers: Lists the peer addresses of the known live hosts.
      apply: Queues changes on this host and calls back with their outcomes.
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
    """Returns the address of the host that should write a slot's changes.

    The address is empty if that is this host.
    """
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
    """Sends changes to a writer and waits for their outcomes.

    Returns:
      The outcomes; None if it is unknown whether the changes were applied.
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
