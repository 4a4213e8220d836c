"""Callers of a plain service that may not be repeated, and the check of it.

Each booking is sent with its idempotency key, and sent again, to the next
entry, when its outcome is not known to the caller or when it was refused as
not run. What counts in the end is how often the service ran each key.
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
  """One booking to make.

  Attributes:
    key: Its idempotency key.
    service: Name of the service.
    tenant: Name of the tenant.
    token: Bearer token, empty for none.
    body: The body.
  """

  key: str
  service: str
  tenant: str
  token: str
  body: bytes


class BookingResult(NamedTuple):
  """What the caller was told in the end.

  Attributes:
    key: The idempotency key.
    outcome: One of the `OUTCOME_` constants.
    attempts: How often it was sent.
    total_s: Time from the first try to the last answer.
    refusal_types: Types of the refusals on the way.
  """

  key: str
  outcome: str
  attempts: int
  total_s: float
  refusal_types: tuple[str, ...]


class BookingFault(NamedTuple):
  """A booking whose executions do not fit what its caller was told."""

  key: str
  outcome: str
  executions: int


class Answer(NamedTuple):
  """What one try of a booking got.

  Attributes:
    status: HTTP status, 0 if there was none.
    kind: Type of the refusal, empty for a booking.
    run: What the refusal says about the execution.
  """

  status: int
  kind: str
  run: str


class BookingClient:
  """Makes bookings over several entries. Safe for threads."""

  def __init__(self, urls: list[str]):
    """Takes the base URLs of the entries."""
    self._urls = urls
    self._pool = urllib3.PoolManager(maxsize=64, retries=False, timeout=20.0)

  def book(self, booking: Booking, first_entry: int) -> BookingResult:
    """Makes a booking, and sends it again until it is booked or tries run out.

    Args:
      booking: The booking.
      first_entry: Number of the entry to begin with.
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
        # Once unknown, only an answer tells more.
        outcome = OUTCOME_UNKNOWN
      time.sleep(RETRY_INTERVAL_S)
    total_s = time.monotonic() - started_at
    return BookingResult(
        booking.key, outcome, number + 1, total_s, tuple(refusal_types)
    )

  def send(self, booking: Booking, entry: int) -> Answer:
    """Sends a booking once, to the entry of a number."""
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
) -> list[BookingFault]:
  """Compares what callers were told with what ran.

  Args:
    results: What callers were told.
    count_by_key: Executions by key, over all endpoints of the service.

  Returns:
    Every booking that ran twice, or that was called booked or not run
    untruly.
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
      faults.append(BookingFault(result.key, result.outcome, executions))
  return faults
