"""Tests of encoding and validating messages between hosts."""

import unittest

import msgspec

from mulberrypick.core import store_changes
from mulberrypick.ops import peer_message


class PeerMessageTest(unittest.TestCase):

  def test_parts_are_the_same_after_packing(self):
    parts = [('a', 7, 2500), ('b', 9, 100), ('a', 8, 3800)]
    packed = peer_message.pack_parts(parts)
    found = peer_message.unpack_parts(packed)
    self.assertEqual(sorted(found), sorted(parts))

  def test_a_part_takes_few_bytes(self):
    # With 77 hosts, 1,900 prompt parts per second at 45 bytes each would use
    # the whole bandwidth of a relay.
    parts = []
    for number in range(100):
      parts.append(('engine-1', 4_000_000_000 + number, 3800))
    packed = msgspec.msgpack.encode(peer_message.pack_parts(parts))
    self.assertLess(len(packed), 10 * len(parts))

  def test_message_with_an_incomplete_part_is_refused(self):
    whole = peer_message.PeerMessage('h', 'z', 'a:1', parts={'e': [1, 2]})
    raw = msgspec.msgpack.encode(whole).replace(
        msgspec.msgpack.encode([1, 2]), msgspec.msgpack.encode([1, 2, 3])
    )
    decoder = msgspec.msgpack.Decoder(peer_message.PeerMessage)
    with self.assertRaises(msgspec.DecodeError):
      decoder.decode(raw)

  def test_builds_with_more_and_fewer_fields_understand_each_other(self):
    fields = []
    for field in msgspec.structs.fields(peer_message.PeerMessage)[:-1]:
      default = field.default
      if field.default_factory is not msgspec.NODEFAULT:
        default = msgspec.field(default_factory=field.default_factory)
      is_required = default is msgspec.NODEFAULT
      fields.append(
          (field.name, field.type)
          if is_required
          else (field.name, field.type, default)
      )
    older = msgspec.defstruct(
        'OlderMessage', fields, array_like=True, omit_defaults=True
    )
    change = store_changes.Change('i-1', 7, b'{}', False)
    batch = store_changes.ChangeBatch('servers', 5, 8, (change,))
    new = peer_message.PeerMessage(
        'h', 'z', 'a:1', hosts=3, relayed_changes=[batch]
    )
    found = msgspec.msgpack.decode(msgspec.msgpack.encode(new), type=older)
    self.assertEqual((found.host, found.hosts), ('h', 3))
    found = msgspec.msgpack.decode(
        msgspec.msgpack.encode(older('h', 'z', 'a:1', hosts=3)),
        type=peer_message.PeerMessage,
    )
    self.assertEqual((found.hosts, found.relayed_changes), (3, []))


if __name__ == '__main__':
  unittest.main()
