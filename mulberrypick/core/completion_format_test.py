"""Tests for the completion protocol."""

import json
import unittest

from mulberrypick.core import completion_format
from mulberrypick.core import errors

BAD_BODIES = {
    'not JSON': b'{"model": ',
    'not UTF-8': b'{"model": "\xff"}',
    'not an object': b'[]',
    'no model': b'{"prompt": "a"}',
    'model of a wrong type': b'{"model": 1, "prompt": "a"}',
    'prompt of a wrong type': b'{"model": "m", "prompt": {"a": 1}}',
    'two prompts': b'{"model": "m", "prompt": ["a", "b"]}',
    'empty prompt': b'{"model": "m", "prompt": " "}',
    'max_tokens of a wrong type': (
        b'{"model": "m", "prompt": "a", "max_tokens": "9"}'
    ),
    'max_tokens of 0': b'{"model": "m", "prompt": "a", "max_tokens": 0}',
    'max_tokens too high': (
        b'{"model": "m", "prompt": "a", "max_tokens": 99999999}'
    ),
    'two answers': b'{"model": "m", "prompt": "a", "n": 2}',
    'deep nesting': b'{"model":' + b'[' * 5000 + b']' * 5000 + b'}',
}


class TestCompletionFormat(unittest.TestCase):

  def test_parse_refuses_bad_bodies(self):
    for name, body in BAD_BODIES.items():
      with self.subTest(name), self.assertRaises(errors.BadRequestError):
        completion_format.parse_completion(body)

  def test_parse_names_the_place_of_a_wrong_type(self):
    with self.assertRaisesRegex(errors.BadRequestError, r'\$.max_tokens'):
      completion_format.parse_completion(
          BAD_BODIES['max_tokens of a wrong type']
      )

  def test_parse_ignores_other_fields(self):
    body = b'{"model": "m", "prompt": "a b", "temperature": 0.5, "user": null}'
    parsed = completion_format.parse_completion(body)
    self.assertEqual(
        ('m', 'a b', False), (parsed.service, parsed.prompt, parsed.is_streamed)
    )

  def test_parse_chat_joins_messages(self):
    body = json.dumps(
        {
            'model': 'm',
            'messages': [
                {'role': 'system', 'content': 'be short'},
                {'role': 'user', 'content': 'is yard 4 open'},
            ],
            'max_completion_tokens': 7,
        }
    ).encode()
    parsed = completion_format.parse_chat(body)
    self.assertEqual('system: be short\nuser: is yard 4 open', parsed.prompt)
    self.assertEqual(7, parsed.max_tokens)

  def test_chunks_are_events_of_json(self):
    writer = completion_format.ChunkWriter('r1', 'm', True, 5)
    event = writer.encode_text('a "quoted" wörd\n')
    data = json.loads(event.removeprefix(b'data: '))
    self.assertEqual(
        'a "quoted" wörd\n', data['choices'][0]['delta']['content']
    )
    self.assertTrue(event.endswith(b'}\n\n'))

  def test_finish_ends_with_the_marker(self):
    writer = completion_format.ChunkWriter('r1', 'm', False, 5)
    last, done, _ = writer.encode_finish('stop').split(b'\n\n')
    data = json.loads(last.removeprefix(b'data: '))
    self.assertEqual('stop', data['choices'][0]['finish_reason'])
    self.assertEqual(b'data: [DONE]', done)


if __name__ == '__main__':
  unittest.main()
