"""Sends a load plan's requests to gateways, and checks their answers.

The counterpart of `load_client` on the wire of the users' platform: the same
plans, results and tables serve both. A class's service is a route: `ask` and
`read` stream, `safe` and `unsafe` are plain.
"""

import time
from http import HTTPStatus
from typing import NamedTuple

import urllib3
import xxhash
from urllib3 import exceptions

from standins import fleet_town
from standins import load_plan
from standins import load_summary

CONNECTIONS_PER_GATEWAY = 256
TIMEOUT_S = 20.0
# The headers say how long a prompt is; the stand-ins read no more of it, and a
# gateway takes no larger body (characters).
BODY_MOST = 4096
# Routes whose answers are streams.
STREAMS = ('ask', 'read')
# Statuses by which a gateway says that a request did not run.
_NOT_RUN_STATUS = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


class _Ending(NamedTuple):
  outcome: str
  status: int = 0
  kind: str = ''
  retry_after_s: float = 0.0


class _Progress:
  """What has come of one stream."""

  def __init__(self, planned_at: float):
    self._planned_at = planned_at
    self._last_at = 0.0
    self._rest = b''
    self.first_event_s = 0.0
    self.gaps_s: list[float] = []
    self.events = 0
    self.is_right = True

  def take(self, data: bytes) -> None:
    """Takes bytes of the stream."""
    *events, self._rest = (self._rest + data).split(b'\n\n')
    for event in events:
      self.events += 1
      wanted = b'id: %d\ndata: piece %d' % (self.events, self.events)
      self.is_right &= event == wanted
      self._note_time()

  def _note_time(self) -> None:
    now = time.monotonic()
    if self.events > 1:
      self.gaps_s.append(now - self._last_at)
    else:
      self.first_event_s = now - self._planned_at
    self._last_at = now


class FleetClient:
  """Sends requests to gateways in turn, as a balancer does. Safe for threads.

  Attributes:
    ports: Ports of the gateways that are ready, on loopback.
  """

  def __init__(self, ports: list[int], events: int):
    """Makes the client.

    Args:
      ports: Ports of gateways that are ready, on loopback.
      events: Events of each stream.
    """
    self.ports = list(ports)
    self._events = events
    self._pool = urllib3.PoolManager(
        maxsize=CONNECTIONS_PER_GATEWAY, retries=False, timeout=TIMEOUT_S
    )

  def run(
      self, arrival: load_plan.Arrival, planned_at: float
  ) -> load_summary.Result:
    """Sends one request and waits for its end.

    Args:
      arrival: The request.
      planned_at: Monotonic time at which it was to be sent.
    """
    late_s = max(0.0, time.monotonic() - planned_at)
    progress = _Progress(planned_at)
    try:
      ending = self._exchange(arrival, progress)
    except exceptions.HTTPError as error:
      outcome = load_summary.OUTCOME_FAILED
      if progress.events:
        outcome = load_summary.OUTCOME_CUT
      ending = _Ending(outcome, 0, type(error).__name__)
    total_s = time.monotonic() - planned_at
    return _make_result(arrival, late_s, ending, progress, total_s)

  def _exchange(
      self, arrival: load_plan.Arrival, progress: _Progress
  ) -> _Ending:
    port = self.ports[arrival.number % len(self.ports)]
    work_class = arrival.work_class
    response = self._pool.request(
        'POST',
        f'http://127.0.0.1:{port}/{work_class.service}/x',
        body=arrival.prompt[:BODY_MOST].encode(),
        headers=_headers(arrival),
        preload_content=False,
    )
    try:
      if response.status != HTTPStatus.OK:
        return _refusal(response)
      if work_class.service in STREAMS:
        return self._read_stream(response, progress)
      return _read_plain(response, arrival)
    finally:
      response.drain_conn()
      response.release_conn()

  def _read_stream(
      self, response: urllib3.BaseHTTPResponse, progress: _Progress
  ) -> _Ending:
    for data in response.stream():
      progress.take(data)
    outcome = load_summary.OUTCOME_WRONG
    if progress.is_right and progress.events == self._events:
      outcome = load_summary.OUTCOME_WHOLE
    return _Ending(outcome, response.status)


def request_id(arrival: load_plan.Arrival) -> str:
  """Returns the id that a request is sent with."""
  return f'load-{arrival.number}'


def _headers(arrival: load_plan.Arrival) -> dict[str, str]:
  work_class = arrival.work_class
  headers = {
      'Host': fleet_town.HOST,
      'X-Mulberrypick-Request-Id': request_id(arrival),
      'X-Mulberrypick-Deadline-Ms': str(int(work_class.deadline_s * 1000)),
  }
  if work_class.service not in STREAMS:
    return headers
  prompt = arrival.prompt.split(' ')
  shared = prompt[: work_class.prefix_tokens]
  own = prompt[work_class.prefix_tokens :]
  parts = []
  digest = xxhash.xxh3_64()
  for words in (shared, own):
    if not words:
      continue
    digest.update(' '.join(words).encode())
    parts.append(f'{digest.hexdigest()}:{len(words)}')
  usage = f'{len(prompt)},{work_class.max_tokens}'
  headers['X-Mulberrypick-Token-Usage'] = usage
  headers['X-Mulberrypick-Prefix-Hash'] = ','.join(parts)
  return headers


def _read_plain(
    response: urllib3.BaseHTTPResponse, arrival: load_plan.Arrival
) -> _Ending:
  outcome = load_summary.OUTCOME_WRONG
  if response.read().endswith(b':' + request_id(arrival).encode()):
    outcome = load_summary.OUTCOME_WHOLE
  return _Ending(outcome, response.status)


def _refusal(response: urllib3.BaseHTTPResponse) -> _Ending:
  outcome = load_summary.OUTCOME_FAILED
  if response.status in _NOT_RUN_STATUS:
    outcome = load_summary.OUTCOME_REFUSED
  retry_after_s = float(response.headers.get('Retry-After', '0'))
  return _Ending(outcome, response.status, str(response.status), retry_after_s)


def _make_result(
    arrival: load_plan.Arrival,
    late_s: float,
    ending: _Ending,
    progress: _Progress,
    total_s: float,
) -> load_summary.Result:
  work_class = arrival.work_class
  is_whole = ending.outcome == load_summary.OUTCOME_WHOLE
  is_in_time = is_whole and total_s <= work_class.deadline_s
  if work_class.first_token_s:
    is_in_time &= progress.first_event_s <= work_class.first_token_s
  run = ''
  if ending.outcome == load_summary.OUTCOME_REFUSED:
    run = 'not_run'
  return load_summary.Result(
      number=arrival.number,
      work_class=work_class.name,
      tenant=work_class.tenant,
      rank=work_class.rank,
      at_s=arrival.at_s,
      late_s=late_s,
      outcome=ending.outcome,
      status=ending.status,
      kind=ending.kind,
      run=run,
      retry_after_s=ending.retry_after_s,
      first_token_s=progress.first_event_s,
      total_s=total_s,
      gaps_s=tuple(progress.gaps_s),
      tokens=progress.events,
      is_in_time=is_in_time,
  )
