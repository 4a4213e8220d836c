"""Sends single requests of a load run and checks their answers by token."""

import abc
import itertools
import time
from collections.abc import Iterator
from http import HTTPStatus
from typing import NamedTuple
from typing import TypedDict

import msgspec
import urllib3
from urllib3 import exceptions

from mulberrypick.adapters import http_common
from standins import answers
from standins import load_plan
from standins import load_summary

CONNECTIONS_PER_ENTRY = 512
CONNECT_TIMEOUT_S = 2.0
READ_TIMEOUT_S = 60.0
EVENT_END = b'\n\n'
EVENT_START = len(b'data: ')
END_MARKER = b'data: [DONE]'
RUN_NOT_RUN = 'not_run'


class _Choice(TypedDict, total=False):
  text: str
  finish_reason: str | None


class _Error(TypedDict, total=False):
  type: str
  run: str


class _Event(TypedDict, total=False):
  choices: list[_Choice]
  error: _Error


_event_decoder = msgspec.json.Decoder(_Event)


class Ending(NamedTuple):
  """How a request ended.

  Attributes:
    outcome: One of the `OUTCOME_` constants of `load_summary`.
    status: HTTP status, 0 if there was none.
    kind: Type name of the refusal or error, empty if there was none.
    run: What a refusal says about the execution.
    retry_after_s: Value of `Retry-After`, 0 if there was none.
  """

  outcome: str
  status: int = 0
  kind: str = ''
  run: str = ''
  retry_after_s: float = 0.0


class Progress:
  """Timing of the parts of an answer received so far.

  Attributes:
    first_token_s: Time from the planned arrival to the first token, 0 before.
    gaps_s: Times between consecutive tokens.
    tokens: Number of tokens received.
  """

  def __init__(self, planned_at: float):
    self._planned_at = planned_at
    self._last_at = 0.0
    self.first_token_s = 0.0
    self.gaps_s: list[float] = []
    self.tokens = 0

  def record_piece(self) -> None:
    """Records that one more token arrived."""
    now = time.monotonic()
    if self.tokens:
      self.gaps_s.append(now - self._last_at)
    else:
      self.first_token_s = now - self._planned_at
    self._last_at = now
    self.tokens += 1


class _TokenProgress(Progress):
  """Progress of a completion; compares each token with the expected one."""

  def __init__(self, arrival: load_plan.Arrival, planned_at: float):
    super().__init__(planned_at)
    work_class = arrival.work_class
    self._source = answers.TokenSource(
        work_class.model, work_class.adapter, arrival.prompt
    )
    self._expected_end = answers.expected_end(
        arrival.prompt, work_class.max_tokens
    )
    self.finish_reason = ''

  def handle_choice(self, choice: _Choice) -> bool:
    """Records a part of the answer; returns whether it is as expected."""
    reason = choice.get('finish_reason')
    if reason:
      self.finish_reason = reason
    text = choice.get('text')
    if not text:
      return True
    if text != self._source.token(self.tokens):
      return False
    self.record_piece()
    return True

  def is_whole(self) -> bool:
    """Returns whether all tokens and the expected finish reason arrived."""
    return (self.tokens, self.finish_reason) == self._expected_end


class Client(abc.ABC):
  """Sends the requests of a load plan. Thread-safe."""

  def run(
      self, arrival: load_plan.Arrival, planned_at: float
  ) -> load_summary.Result:
    """Sends one request and waits until it has ended.

    Args:
      arrival: The request.
      planned_at: Monotonic time at which it was planned to be sent.
    """
    late_s = max(0.0, time.monotonic() - planned_at)
    progress = self._make_progress(arrival, planned_at)
    try:
      ending = self._exchange(arrival, progress)
    except exceptions.HTTPError as error:
      # A stream that breaks after its first token counts as cut.
      outcome = load_summary.OUTCOME_FAILED
      if progress.tokens:
        outcome = load_summary.OUTCOME_CUT
      ending = Ending(outcome, 0, type(error).__name__)
    total_s = time.monotonic() - planned_at
    return _make_result(arrival, late_s, ending, progress, total_s)

  @abc.abstractmethod
  def _make_progress(
      self, arrival: load_plan.Arrival, planned_at: float
  ) -> Progress:
    """Returns an object that tracks the progress of an answer."""

  @abc.abstractmethod
  def _exchange(self, arrival: load_plan.Arrival, progress: Progress) -> Ending:
    """Sends a request and reads its answer.

    Raises:
      urllib3.exceptions.HTTPError: The request failed, or the answer broke off.
    """


class LoadClient(Client):
  """Sends requests to entries in round-robin order, as a load balancer does."""

  def __init__(self, urls: list[str], source_ip: str = ''):
    """Makes the client.

    Args:
      urls: Base URLs of the entries.
      source_ip: Local IP to connect from; empty lets the system choose.
    """
    self._urls = urls
    self._request_counter = itertools.count()
    self._pool = urllib3.PoolManager(
        maxsize=CONNECTIONS_PER_ENTRY,
        retries=False,
        source_address=(source_ip, 0) if source_ip else None,
        timeout=urllib3.Timeout(connect=CONNECT_TIMEOUT_S, read=READ_TIMEOUT_S),
    )

  def _make_progress(
      self, arrival: load_plan.Arrival, planned_at: float
  ) -> Progress:
    return _TokenProgress(arrival, planned_at)

  def _exchange(self, arrival: load_plan.Arrival, progress: Progress) -> Ending:
    response = self._send(arrival)
    try:
      return _read_answer(response, progress)
    finally:
      # A response that was read to its end has already returned its connection
      # to the pool.
      response.close()

  def _send(self, arrival: load_plan.Arrival) -> urllib3.BaseHTTPResponse:
    """Sends to the next entry that accepts a connection.

    Raises:
      urllib3.exceptions.HTTPError: No entry accepted one, or sending failed.
      ValueError: The client has no entries.
    """
    first = next(self._request_counter)
    for offset in range(len(self._urls)):
      url = self._urls[(first + offset) % len(self._urls)]
      try:
        return self._pool.request(
            'POST',
            f'{url}/v1/completions',
            body=_body(arrival),
            headers=_headers(arrival),
            preload_content=False,
        )
      except (exceptions.NewConnectionError, exceptions.ConnectTimeoutError):
        if offset == len(self._urls) - 1:
          raise
    raise ValueError('the load client has no entry URLs')


def _body(arrival: load_plan.Arrival) -> bytes:
  return msgspec.json.encode(
      {
          'model': arrival.work_class.service,
          'prompt': arrival.prompt,
          'max_tokens': arrival.work_class.max_tokens,
          'stream': True,
      }
  )


def _headers(arrival: load_plan.Arrival) -> dict[str, str]:
  work_class = arrival.work_class
  headers = {
      'Content-Type': 'application/json',
      'X-Mulberry-Tenant': work_class.tenant,
      'X-Mulberry-Rank': work_class.rank,
      'X-Mulberry-Deadline-Ms': str(int(work_class.deadline_s * 1000)),
      'X-Request-Id': f'load-{arrival.number}',
  }
  if work_class.token:
    headers['Authorization'] = f'Bearer {work_class.token}'
  return {name: value for name, value in headers.items() if value}


def _read_answer(
    response: urllib3.BaseHTTPResponse, progress: _TokenProgress
) -> Ending:
  if response.status != HTTPStatus.OK:
    return _read_refusal(response)
  status = response.status
  for event in _read_events(response):
    if 'error' in event:
      error = event['error']
      kind, run = error.get('type', ''), error.get('run', '')
      outcome = load_summary.OUTCOME_CUT
      if run == RUN_NOT_RUN and not progress.tokens:
        outcome = load_summary.OUTCOME_REFUSED
      return Ending(outcome, status, kind, run)
    for choice in event.get('choices', ()):
      if not progress.handle_choice(choice):
        return Ending(load_summary.OUTCOME_WRONG, status)
  if progress.is_whole():
    return Ending(load_summary.OUTCOME_WHOLE, status)
  # The stream ended normally, but it is incomplete or has the wrong finish
  # reason. Unlike with a broken stream, callers cannot notice this.
  return Ending(load_summary.OUTCOME_WRONG, status)


def _read_events(response: urllib3.BaseHTTPResponse) -> Iterator[_Event]:
  """Yields the events of a stream, which must contain the `[DONE]` marker.

  Raises:
    urllib3.exceptions.HTTPError: The stream broke, an event is malformed, or
      the stream ended without the marker.
  """
  http_common.use_kernel_read_timeout(response, READ_TIMEOUT_S)
  rest = b''
  has_end_marker = False
  for data in response.read_chunked(decode_content=False):
    *events, rest = (rest + data).split(EVENT_END)
    for event in events:
      if event == END_MARKER:
        has_end_marker = True
        continue
      try:
        yield _event_decoder.decode(event[EVENT_START:])
      except msgspec.MsgspecError as error:
        raise exceptions.ProtocolError(str(error)) from error
  if not has_end_marker:
    raise exceptions.ProtocolError(
        'the event stream ended without its [DONE] marker'
    )


def _read_refusal(response: urllib3.BaseHTTPResponse) -> Ending:
  try:
    error = _event_decoder.decode(response.read()).get('error', {})
  except msgspec.MsgspecError:
    error = {}
  return Ending(
      load_summary.OUTCOME_REFUSED,
      response.status,
      error.get('type', ''),
      error.get('run', ''),
      float(response.headers.get('Retry-After', '0')),
  )


def _make_result(
    arrival: load_plan.Arrival,
    late_s: float,
    ending: Ending,
    progress: Progress,
    total_s: float,
) -> load_summary.Result:
  work_class = arrival.work_class
  is_in_time = (
      ending.outcome == load_summary.OUTCOME_WHOLE
      and total_s <= work_class.deadline_s
  )
  if work_class.first_token_s:
    is_in_time &= progress.first_token_s <= work_class.first_token_s
  return load_summary.Result(
      arrival.number,
      work_class.name,
      work_class.tenant,
      work_class.rank,
      arrival.at_s,
      late_s,
      ending.outcome,
      ending.status,
      ending.kind,
      ending.run,
      ending.retry_after_s,
      progress.first_token_s,
      total_s,
      tuple(progress.gaps_s),
      progress.tokens,
      is_in_time,
  )
