"""Sends the requests of a load plan to gateways and checks their answers.

This is the counterpart of `load_client` for the protocol of the users'
platform. Both use the same plans, results and tables. The service of a work
class is a route here: `ask` and `read` stream, `safe` and `unsafe` do not.
"""

from http import HTTPStatus

import urllib3
import xxhash

from standins import gateway_cluster
from standins import load_client
from standins import load_plan
from standins import load_summary

CONNECTIONS_PER_GATEWAY = 256
TIMEOUT_S = 20.0
# Gateways accept no larger body. A truncated prompt is enough, since the
# stand-ins take its length from the headers.
MAX_BODY_CHARS = 4096
STREAM_ROUTES = ('ask', 'read')
# Statuses that guarantee that the request did not run.
_NOT_RUN_STATUS = (
    HTTPStatus.TOO_MANY_REQUESTS,
    HTTPStatus.SERVICE_UNAVAILABLE,
)


class _EventProgress(load_client.Progress):
  """Progress of a stream; compares each event with the expected one.

  Attributes:
    is_correct: Whether all events so far were as expected.
  """

  def __init__(self, planned_at: float):
    super().__init__(planned_at)
    self._rest = b''
    self.is_correct = True

  def handle_data(self, data: bytes) -> None:
    """Processes received bytes of the stream."""
    *events, self._rest = (self._rest + data).split(b'\n\n')
    for event in events:
      self.record_piece()
      expected = b'id: %d\ndata: piece %d' % (self.tokens, self.tokens)
      self.is_correct &= event == expected


class FleetClient(load_client.Client):
  """Sends requests to gateways in round-robin order, as a load balancer does.

  Attributes:
    ports: Ports of the gateways that are ready, on loopback.
  """

  def __init__(self, ports: list[int], events: int):
    """Makes the client.

    Args:
      ports: Ports of gateways that are ready, on loopback.
      events: Number of events in each stream.
    """
    self.ports = list(ports)
    self._events = events
    self._pool = urllib3.PoolManager(
        maxsize=CONNECTIONS_PER_GATEWAY, retries=False, timeout=TIMEOUT_S
    )

  def _make_progress(
      self, arrival: load_plan.Arrival, planned_at: float
  ) -> load_client.Progress:
    del arrival
    return _EventProgress(planned_at)

  def _exchange(
      self, arrival: load_plan.Arrival, progress: _EventProgress
  ) -> load_client.Ending:
    port = self.ports[arrival.number % len(self.ports)]
    work_class = arrival.work_class
    response = self._pool.request(
        'POST',
        f'http://127.0.0.1:{port}/{work_class.service}/x',
        body=arrival.prompt[:MAX_BODY_CHARS].encode(),
        headers=_headers(arrival),
        preload_content=False,
    )
    try:
      if response.status != HTTPStatus.OK:
        return _make_refusal(response)
      if work_class.service in STREAM_ROUTES:
        return self._read_stream(response, progress)
      return _read_plain(response, arrival)
    finally:
      response.drain_conn()
      response.release_conn()

  def _read_stream(
      self, response: urllib3.BaseHTTPResponse, progress: _EventProgress
  ) -> load_client.Ending:
    for data in response.stream():
      progress.handle_data(data)
    outcome = load_summary.OUTCOME_WRONG
    if progress.is_correct and progress.tokens == self._events:
      outcome = load_summary.OUTCOME_WHOLE
    return load_client.Ending(outcome, response.status)


def request_id(arrival: load_plan.Arrival) -> str:
  """Returns the request id that is sent for an arrival."""
  return f'load-{arrival.number}'


def _headers(arrival: load_plan.Arrival) -> dict[str, str]:
  work_class = arrival.work_class
  headers = {
      'Host': gateway_cluster.HOST,
      'X-Mulberrypick-Request-Id': request_id(arrival),
      'X-Mulberrypick-Deadline-Ms': str(int(work_class.deadline_s * 1000)),
  }
  if work_class.service not in STREAM_ROUTES:
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
) -> load_client.Ending:
  outcome = load_summary.OUTCOME_WRONG
  if response.read().endswith(b':' + request_id(arrival).encode()):
    outcome = load_summary.OUTCOME_WHOLE
  return load_client.Ending(outcome, response.status)


def _make_refusal(response: urllib3.BaseHTTPResponse) -> load_client.Ending:
  outcome = load_summary.OUTCOME_FAILED
  if response.status in _NOT_RUN_STATUS:
    outcome = load_summary.OUTCOME_REFUSED
  retry_after_s = float(response.headers.get('Retry-After', '0'))
  run = ''
  if outcome == load_summary.OUTCOME_REFUSED:
    run = load_client.RUN_NOT_RUN
  return load_client.Ending(
      outcome, response.status, str(response.status), run, retry_after_s
  )
