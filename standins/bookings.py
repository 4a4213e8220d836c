"""A client for non-idempotent calls, and a check for double execution.

The client sends each booking with an idempotency key. If the booking was
refused as not run, or if its outcome is unknown, the client sends it again to
the next entry. `check_bookings` then compares the reported outcomes with the
number of times that the service executed each key.
"""

import json
import time
from http import HTTPStatus
from typing import NamedTuple

import urllib3
from urllib3 import exceptions

MAX_ATTEMPTS = 6
RETRY_INTERVAL_S = 0.2

OUTCOME_BOOKED = 'booked'
OUTCOME_NOT_RUN = 'not_run'
OUTCOME_UNKNOWN = 'unknown'


class Booking(NamedTuple):
  """A booking request.

  Attributes:
    key: Idempotency key.
    service: Name of the service.
    tenant: Name of the tenant.
    token: Bearer token, empty for none.
    body: Request body.
  """

  key: str
  service: str
  tenant: str
  token: str
  body: bytes


class BookingResult(NamedTuple):
  """Final outcome of a booking as the client knows it.

  Attributes:
    key: Idempotency key.
    outcome: One of the `OUTCOME_` constants.
    attempts: Number of times that the booking was sent.
    total_s: Time from the first attempt to the end of the last one.
    refusal_types: Error types of the failed attempts, in order.
  """

  key: str
  outcome: str
  attempts: int
  total_s: float
  refusal_types: tuple[str, ...]


class BookingViolation(NamedTuple):
  """A booking whose number of executions contradicts its outcome."""

  key: str
  outcome: str
  executions: int


class Answer(NamedTuple):
  """Result of one attempt to make a booking.

  Attributes:
    status: HTTP status, 0 if there was no response.
    kind: Error type, empty on success.
    run: Whether the call was executed, according to the error: one of the
      `OUTCOME_` constants; empty on success.
  """

  status: int
  kind: str
  run: str


class BookingClient:
  """Sends bookings to several entries. Thread-safe."""

  def __init__(self, urls: list[str]):
    """Creates a client for entries with these base URLs."""
    self._urls = urls
    self._pool = urllib3.PoolManager(maxsize=64, retries=False, timeout=20.0)

  def book(self, booking: Booking, first_entry: int) -> BookingResult:
    """Sends a booking until it is booked or `MAX_ATTEMPTS` is reached.

    Args:
      booking: The booking.
      first_entry: Index of the entry for the first attempt.
    """
    started_at = time.monotonic()
    refusal_types = []
    outcome = OUTCOME_NOT_RUN
    for number in range(MAX_ATTEMPTS):
      answer = self.send(booking, first_entry + number)
      if answer.status == HTTPStatus.OK:
        outcome = OUTCOME_BOOKED
        break
      refusal_types.append(answer.kind)
      if answer.run != OUTCOME_NOT_RUN:
        # This attempt may have run, even if a later one is refused as not run.
        outcome = OUTCOME_UNKNOWN
      time.sleep(RETRY_INTERVAL_S)
    total_s = time.monotonic() - started_at
    return BookingResult(
        booking.key, outcome, number + 1, total_s, tuple(refusal_types)
    )

  def send(self, booking: Booking, entry: int) -> Answer:
    """Sends a booking once, to the entry with this index."""
    url = self._urls[entry % len(self._urls)]
    headers = {
        'X-Mulberry-Tenant': booking.tenant,
        'Idempotency-Key': booking.key,
    }
    if booking.token:
      headers['Authorization'] = f'Bearer {booking.token}'
    try:
      response = self._pool.request(
          'POST',
          f'{url}/services/{booking.service}/book',
          body=booking.body,
          headers=headers,
      )
    except (exceptions.NewConnectionError, exceptions.ConnectTimeoutError):
      return Answer(0, 'unreachable', OUTCOME_NOT_RUN)
    except exceptions.HTTPError:
      return Answer(0, 'broken', OUTCOME_UNKNOWN)
    if response.status == HTTPStatus.OK:
      return Answer(response.status, '', '')
    error = json.loads(response.data)['error']
    return Answer(response.status, error['type'], error['run'])


def check_bookings(
    results: list[BookingResult], count_by_key: dict[str, int]
) -> list[BookingViolation]:
  """Compares reported outcomes with executions.

  Args:
    results: Outcomes that the client reported.
    count_by_key: Executions by key, over all endpoints of the service.

  Returns:
    Bookings that ran more than once, were reported as booked but did not run,
    or were reported as not run but did run.
  """
  faults = []
  for result in results:
    executions = count_by_key.get(result.key, 0)
    allowed = {
        OUTCOME_BOOKED: (1,),
        OUTCOME_NOT_RUN: (0,),
        OUTCOME_UNKNOWN: (0, 1),
    }[result.outcome]
    if executions not in allowed:
      faults.append(BookingViolation(result.key, result.outcome, executions))
  return faults
