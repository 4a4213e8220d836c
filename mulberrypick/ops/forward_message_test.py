"""Tests of the messages by which requests are passed on."""

import unittest

import msgspec

from mulberrypick.ops import forward_message

FRAMES = [
    forward_message.Head(200, [(b'A', b'1')], 'v1'),
    forward_message.Data(b'5\r\nhello\r\n', 7),
    forward_message.End(),
    forward_message.Whole(503, [], b'x' * 1000),
    forward_message.Declined('busy'),
    forward_message.Declined('apart', True),
]


class OldDeclined(msgspec.Struct, array_like=True, tag='declined'):
  """The frame as the build before knows it."""

  reason: str


class OldHead(msgspec.Struct, array_like=True, tag='head'):
  """The frame as the build before knows it."""

  status: int
  headers: forward_message.Headers
  software: str | None


class OldWhole(msgspec.Struct, array_like=True, tag='whole'):
  """The frame as the build before knows it."""

  status: int
  headers: forward_message.Headers
  body: bytes


class FrameReaderTest(unittest.TestCase):

  def test_frames_are_read_whatever_their_pieces(self):
    data = b''.join(forward_message.encode_frame(f) for f in FRAMES)
    for size in (1, 3, 100, len(data)):
      reader = forward_message.FrameReader()
      found = []
      for begin in range(0, len(data), size):
        found += reader.feed(data[begin : begin + size])
      self.assertEqual(found, FRAMES, size)

  def test_frames_of_the_build_before_are_read_and_its_are_like_new_ones(self):
    old = msgspec.msgpack.encode(['declined', 'apart'])
    reader = forward_message.FrameReader()
    found = list(reader.feed(len(old).to_bytes(4, 'big') + old))
    self.assertEqual(found, [forward_message.Declined('apart', False)])
    new = forward_message.encode_frame(forward_message.Declined('apart', True))
    decoded = msgspec.msgpack.decode(new[4:], type=OldDeclined)
    self.assertEqual(decoded.reason, 'apart')

  def test_heads_of_the_build_before_are_read_and_new_ones_by_it(self):
    for old, old_type, new in (
        (['head', 200, [], 'v1'], OldHead, forward_message.Head),
        (['whole', 200, [], b'body'], OldWhole, forward_message.Whole),
    ):
      encoded = msgspec.msgpack.encode(old)
      reader = forward_message.FrameReader()
      found = list(reader.feed(len(encoded).to_bytes(4, 'big') + encoded))
      self.assertEqual(found, [new(*old[1:])])
      frame = new(*old[1:], leaving=('e', 7))
      data = forward_message.encode_frame(frame)
      self.assertEqual(list(forward_message.FrameReader().feed(data)), [frame])
      decoded = msgspec.msgpack.decode(data[4:], type=old_type)
      self.assertEqual(decoded, old_type(*old[1:]))

  def test_incomplete_frame_is_counted(self):
    # Guards against frames that take memory and are counted nowhere.
    data = forward_message.encode_frame(FRAMES[0])
    reader = forward_message.FrameReader()
    self.assertEqual(list(reader.feed(data[:-1])), [])
    self.assertEqual(reader.partial_bytes, len(data) - 1)
    self.assertEqual(list(reader.feed(data[-1:])), [FRAMES[0]])
    self.assertEqual(reader.partial_bytes, 0)

  def test_bytes_that_are_no_frames_are_refused(self):
    for data in (b'HTTP/1.1 200', b'\0\0\0\1\xc1', b'\0\0\0\2\x91\x05'):
      with self.subTest(data=data), self.assertRaises(ValueError):
        list(forward_message.FrameReader().feed(data))


class RequestTest(unittest.TestCase):

  def test_request_is_read_as_written(self):
    request = forward_message.ForwardedRequest(
        'host-1',
        b'POST',
        b'/a/b?c=%20',
        [(b'X-Own', b'\xff'), (b'x-own', b'')],
        b'\0\1',
        '10.0.0.1',
        0.25,
        3,
        1,
        True,
        None,
        'v2',
    )
    data = forward_message.encode_request(request)
    self.assertEqual(forward_message.decode_request(data), request)


if __name__ == '__main__':
  unittest.main()
