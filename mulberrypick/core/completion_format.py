"""The completion protocol for callers, compatible with the OpenAI API.

Converts request bodies to typed records and answers to bytes. Only fields that
the system uses are declared; other fields of a body are accepted and ignored,
because existing client libraries send many of them.
"""

from typing import Any
from typing import NamedTuple
from typing import Required
from typing import TypedDict

import msgspec

from mulberrypick.core import errors

DEFAULT_MAX_TOKENS = 256
MAX_TOKENS_LIMIT = 32_768
DONE_EVENT = b'data: [DONE]\n\n'


class CompletionBody(TypedDict, total=False):
  """Body of `POST /v1/completions`."""

  model: Required[str]
  prompt: Required[str | list[str]]
  max_tokens: int | None
  stream: bool | None
  n: int | None


class ChatMessage(TypedDict, total=False):
  """One message of a chat request."""

  role: Required[str]
  content: Required[str]


class ChatBody(TypedDict, total=False):
  """Body of `POST /v1/chat/completions`."""

  model: Required[str]
  messages: Required[list[ChatMessage]]
  max_tokens: int | None
  max_completion_tokens: int | None
  stream: bool | None
  n: int | None


class Completion(NamedTuple):
  """A parsed completion or chat request.

  Attributes:
    service: Name of the service, from the `model` field.
    prompt: The prompt text.
    max_tokens: Maximum number of tokens of the answer.
    is_streamed: Whether to answer with server-sent events.
    is_chat: Whether it is a chat request.
  """

  service: str
  prompt: str
  max_tokens: int
  is_streamed: bool
  is_chat: bool


class Usage(NamedTuple):
  """Token counts of a complete answer."""

  prompt_tokens: int
  completion_tokens: int


_COMPLETION_DECODER = msgspec.json.Decoder(CompletionBody)
_CHAT_DECODER = msgspec.json.Decoder(ChatBody)
_ENCODER = msgspec.json.Encoder()


def parse_completion(body: bytes) -> Completion:
  """Parses the body of a `/v1/completions` request.

  Raises:
    BadRequestError: The body is not JSON, or a field has a wrong type or value.
  """
  data = _decode(_COMPLETION_DECODER, body)
  prompt = data['prompt']
  if isinstance(prompt, list):
    if len(prompt) != 1:
      raise errors.BadRequestError('prompt: must be a single prompt')
    prompt = prompt[0]
  max_tokens = data.get('max_tokens')
  return _build_completion(data, prompt, max_tokens, is_chat=False)


def parse_chat(body: bytes) -> Completion:
  """Parses the body of a `/v1/chat/completions` request.

  Raises:
    BadRequestError: The body is not JSON, or a field has a wrong type or value.
  """
  data = _decode(_CHAT_DECODER, body)
  if not data['messages']:
    raise errors.BadRequestError('messages: must not be empty')
  prompt = render_chat(data['messages'])
  max_tokens = data.get('max_completion_tokens') or data.get('max_tokens')
  return _build_completion(data, prompt, max_tokens, is_chat=True)


def render_chat(messages: list[ChatMessage]) -> str:
  """Renders a chat as one prompt with a `role: content` line per message."""
  return '\n'.join(f'{m["role"]}: {m["content"]}' for m in messages)


def _decode(decoder: msgspec.json.Decoder[Any], body: bytes) -> Any:
  try:
    return decoder.decode(body)
  except (msgspec.DecodeError, UnicodeDecodeError, RecursionError) as error:
    raise errors.BadRequestError(f'body: {error}') from error


def _build_completion(
    data: Any, prompt: str, max_tokens: int | None, is_chat: bool
) -> Completion:
  if max_tokens is None:
    max_tokens = DEFAULT_MAX_TOKENS
  if not 1 <= max_tokens <= MAX_TOKENS_LIMIT:
    raise errors.BadRequestError(
        f'max_tokens: must be from 1 to {MAX_TOKENS_LIMIT}'
    )
  if (data.get('n') or 1) != 1:
    raise errors.BadRequestError('n: must be 1')
  if not prompt.strip():
    raise errors.BadRequestError('prompt: must not be empty')
  return Completion(
      service=data['model'],
      prompt=prompt,
      max_tokens=max_tokens,
      is_streamed=bool(data.get('stream')),
      is_chat=is_chat,
  )


class ChunkWriter:
  """Encodes the events of one streamed answer.

  The start of each event is the same for all tokens of an answer and is encoded
  only once.
  """

  def __init__(
      self, request_id: str, service: str, is_chat: bool, created: int
  ):
    self._is_chat = is_chat
    kind = 'chat.completion.chunk' if is_chat else 'text_completion'
    prefix = 'chatcmpl-' if is_chat else 'cmpl-'
    head = {
        'id': prefix + request_id,
        'object': kind,
        'created': created,
        'model': service,
    }
    encoded = _ENCODER.encode(head)[:-1]
    self._head = b'data: ' + encoded + b',"choices":[{"index":0,'

  def encode_text(self, text: str) -> bytes:
    """Encodes the event of one token."""
    quoted = _ENCODER.encode(text)
    if self._is_chat:
      choice = (
          b'"delta":{"content":' + quoted + b'},"finish_reason":null}]}\n\n'
      )
    else:
      choice = b'"text":' + quoted + b',"finish_reason":null}]}\n\n'
    return self._head + choice

  def encode_finish(self, reason: str) -> bytes:
    """Encodes the last event of a complete answer and the end marker."""
    quoted = _ENCODER.encode(reason)
    body = b'"delta":{}' if self._is_chat else b'"text":""'
    choice = body + b',"finish_reason":' + quoted + b'}]}\n\n'
    return self._head + choice + DONE_EVENT


def encode_completion(
    request_id: str,
    completion: Completion,
    text: str,
    finish_reason: str,
    usage: Usage,
    created: int,
) -> bytes:
  """Encodes a complete answer that is not streamed."""
  choice: dict[str, Any] = {'index': 0, 'finish_reason': finish_reason}
  if completion.is_chat:
    choice['message'] = {'role': 'assistant', 'content': text}
  else:
    choice['text'] = text
  prefix = 'chatcmpl-' if completion.is_chat else 'cmpl-'
  kind = 'chat.completion' if completion.is_chat else 'text_completion'
  return _ENCODER.encode(
      {
          'id': prefix + request_id,
          'object': kind,
          'created': created,
          'model': completion.service,
          'choices': [choice],
          'usage': {
              'prompt_tokens': usage.prompt_tokens,
              'completion_tokens': usage.completion_tokens,
              'total_tokens': usage.prompt_tokens + usage.completion_tokens,
          },
      }
  )


def encode_error(error: errors.RequestError, request_id: str) -> bytes:
  """Encodes the JSON body of an error response."""
  return _ENCODER.encode(
      {
          'error': {
              'type': error.kind,
              'message': str(error),
              'run': error.run,
              'retry_after_s': error.retry_after_s,
              'request_id': request_id,
          }
      }
  )


def encode_error_event(error: errors.RequestError, request_id: str) -> bytes:
  """Encodes the event that ends the stream of an incomplete answer."""
  return b'data: ' + encode_error(error, request_id) + b'\n\n'
