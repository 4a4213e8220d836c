"""An endpoint whose work is drawn for each request, long and short."""

import asyncio
import collections
import random
from typing import NamedTuple

from mulberrypick.adapters import server_connection
from standins import fleet_replica
from standins import soak_planned_checks

# Sizes of answers of several megabytes, and of small ones.
LARGE_BYTES = (300_000, 3_000_000)
SMALL_BYTES = (0, 2000)
EVENT_BYTES = (2000, 20_000)
SHORT_EVENTS = 2
LONG_EVENTS = 150
# Longest time to the answer of short work, and all events of a short stream.
SHORT_WORK_S = 0.05
SHORT_STREAM_S = 0.02
# Share of long work, its shortest time, and the part of the grace period that
# the longest one takes.
LONG_SHARE = 0.3
MIN_LONG_S = 0.3
MAX_LONG_FRACTION = 0.7


class Job(NamedTuple):
  """What a request takes, and the answer to it.

  Attributes:
    work_s: Time until the answer of a plain service, or the first event.
    padding_bytes: Bytes that are added to the answer, or to each event.
    events: Number of events; 0 for a plain answer.
    event_interval_s: Time between the events.
  """

  work_s: float
  padding_bytes: int
  events: int = 0
  event_interval_s: float = 0.0


class JobBook:
  """The jobs of all requests, and who worked on them when.

  Attributes:
    job_by_request: The jobs.
    runs_by_request: The executions.
  """

  def __init__(self):
    self.job_by_request: dict[str, Job] = {}
    self.runs_by_request: collections.defaultdict[
        str, list[soak_planned_checks.Run]
    ] = collections.defaultdict(list)


class PlannedReplica(fleet_replica.FleetReplica):
  """A replica that works as the book of jobs says.

  Attributes:
    open_runs: Number of requests that it works on.
  """

  def __init__(self, name: str, service: str, stage: str, book: JobBook):
    super().__init__(name, service, stage)
    self.open_runs = 0
    self._book = book

  async def _run(
      self,
      request: str,
      headers: dict[str, str],
      body: bytes,
      caller: server_connection.ServerConnection,
  ) -> None:
    job = self._book.job_by_request.get(request)
    source = headers.get('x-mulberrypick-kv-source', '')
    if (
        job is None
        or headers.get('x-mulberrypick-stage') == 'prefill'
        or self.stage == 'prefill'
        or (source and not source.endswith('-ok'))
    ):
      await super()._run(request, headers, body, caller)
      return
    loop = asyncio.get_running_loop()
    self.open_runs += 1
    runs = self._book.runs_by_request[request]
    number = len(runs)
    runs.append(soak_planned_checks.Run(loop.time(), float('inf')))
    try:
      await asyncio.sleep(job.work_s)
      if job.events:
        start = int(headers.get('last-event-id', '0'))
        await self._send_events(request, job, start, caller)
      else:
        answer = f'{self.name}:'.encode() + expected_answer(request, job)
        caller.write_response(200, self._answer_headers(request), answer)
        await caller.drain()
    finally:
      self.open_runs -= 1
      runs[number] = runs[number]._replace(ended_at=loop.time())

  async def _send_events(
      self,
      request: str,
      job: Job,
      start: int,
      caller: server_connection.ServerConnection,
  ) -> None:
    answer_headers = [
        *self._answer_headers(request),
        (b'Content-Type', b'text/event-stream'),
        (b'Transfer-Encoding', b'chunked'),
    ]
    caller.write_head(200, answer_headers, False)
    for number in range(start + 1, job.events + 1):
      event = make_event(number, job)
      caller.write(b'%x\r\n%s\r\n' % (len(event), event))
      await caller.drain()
      await asyncio.sleep(job.event_interval_s)
    caller.write(b'0\r\n\r\n')
    await caller.drain()


def draw_job(
    rng: random.Random, is_stream: bool, large_share: float, grace_s: float
) -> tuple[Job, bool]:
  """Draws the work of a request; returns it, and whether it is long.

  Args:
    rng: Source of the draws.
    is_stream: Whether the answer is a stream.
    large_share: Share of large answers.
    grace_s: Grace period of the gateways.
  """
  is_large = rng.random() < large_share
  is_long = rng.random() < LONG_SHARE
  work_s = rng.uniform(0.0, SHORT_WORK_S)
  long_s = rng.uniform(MIN_LONG_S, MAX_LONG_FRACTION * grace_s)
  if not is_stream:
    size = rng.randint(*(LARGE_BYTES if is_large else SMALL_BYTES))
    return Job(long_s if is_long else work_s, size), is_long
  events = LONG_EVENTS if is_long else SHORT_EVENTS
  total_s = long_s if is_long else SHORT_STREAM_S
  size = rng.randint(*EVENT_BYTES) if is_large else 0
  return Job(work_s, size, events, total_s / events), is_long


def make_event(number: int, job: Job) -> bytes:
  """Returns an event of a stream."""
  return b'id: %d\ndata: %s\n\n' % (number, b'x' * (1 + job.padding_bytes))


def expected_answer(request: str, job: Job) -> bytes:
  """Returns a plain answer without the name of the endpoint."""
  return request.encode() + b'.' * job.padding_bytes


def is_right(request: str, job: Job, body: bytes) -> bool:
  """Returns whether a body is the whole answer to a request."""
  if not job.events:
    return body.partition(b':')[2] == expected_answer(request, job)
  events = range(1, job.events + 1)
  return body == b''.join(make_event(number, job) for number in events)
