"""The exception hierarchy.

Callers of the system only see `RequestError` and its subclasses. Each has an
HTTP status, a stable type name, the known state of the request's execution and,
where a retry can help, a time to wait before it. All other errors are internal
and are converted to a `RequestError` before an answer is sent.
"""

from typing import NamedTuple

RUN_NOT_RUN = 'not_run'
RUN_UNKNOWN = 'unknown'
RUN_PARTIAL = 'partial'
RUN_DONE = 'done'


class Fault(NamedTuple):
  """One fault of a settings table or a configuration.

  Attributes:
    place: Location of the fault, such as `tenants[2].share`.
    message: Description of the fault and of the expected value.
  """

  place: str
  message: str


class MulberrypickError(Exception):
  """Base class of all errors that this package defines."""


class FaultsError(MulberrypickError):
  """Input with one or more faults, refused as a whole.

  Attributes:
    faults: All faults found, in the order in which they were found.
  """

  def __init__(self, faults: list[Fault]):
    super().__init__('; '.join(f'{f.place}: {f.message}' for f in faults))
    self.faults = faults


class SettingsError(FaultsError):
  """The settings of a program are invalid."""


class ConfigError(FaultsError):
  """A declared configuration is invalid."""


class ConfigRaceError(MulberrypickError):
  """A change was planned on a generation that is no longer the newest.

  Attributes:
    planned_on: The generation that the change was planned on.
    current: The newest generation.
    operator: Name of the operator who applied it, empty if unknown.
  """

  def __init__(self, planned_on: int, current: int, operator: str):
    winner = f' (applied by {operator})' if operator else ''
    super().__init__(
        f'the change was planned on generation {planned_on}, but the newest is'
        f' generation {current}{winner}: plan again'
    )
    self.planned_on = planned_on
    self.current = current
    self.operator = operator


class ConnectError(MulberrypickError):
  """No connection could be opened, so nothing was sent.

  Attributes:
    address: Address of the server.
  """

  def __init__(self, address: str, reason: str):
    super().__init__(f'cannot connect to {address}: {reason}')
    self.address = address


class ExchangeBrokenError(MulberrypickError):
  """A request was sent, and its complete answer will not arrive.

  Attributes:
    reason: Reason in a word, for logs.
  """

  def __init__(self, reason: str):
    super().__init__(f'the answer is incomplete: {reason}')
    self.reason = reason


class RunGivenUpError(MulberrypickError):
  """A run on a silent endpoint was given up because another one is secured."""

  def __init__(self, endpoint: str):
    super().__init__(f'the run on the silent endpoint {endpoint} was given up')


class StoreError(MulberrypickError):
  """The platform's store gave no usable answer.

  Attributes:
    reason: Reason in a word, for logs.
    status: HTTP status of the answer, 0 if there was none.
  """

  def __init__(self, reason: str, status: int = 0):
    super().__init__(f'store: {reason}')
    self.reason = reason
    self.status = status


class OlderStoreError(StoreError):
  """The answer is of an era of the store that has ended."""

  def __init__(self):
    super().__init__('older_era')


class ConfigUnknownError(MulberrypickError):
  """It could not be determined whether a change was accepted."""


class UnknownEndpointError(MulberrypickError):
  """The platform does not list this endpoint."""

  def __init__(self, endpoint: str, known: list[str]):
    listed = ', '.join(known) or 'none'
    super().__init__(
        f'unknown endpoint {endpoint!r}; the platform lists {listed}'
    )


class ChartError(MulberrypickError):
  """A state chart has no such state, event or transition."""


class PlatformError(MulberrypickError):
  """A call to the platform failed."""


class PlatformUnavailableError(PlatformError):
  """The platform refused or could not be reached; the call had no effect.

  Attributes:
    retry_after_s: Seconds to wait before a retry, 0 if unknown.
  """

  def __init__(self, message: str, retry_after_s: float = 0.0):
    super().__init__(message)
    self.retry_after_s = retry_after_s


class PlatformAnswerLostError(PlatformError):
  """A write was sent and its answer was lost; it may have taken effect."""


class ConflictError(PlatformError):
  """A conditional update found another version than expected.

  Attributes:
    key: Key of the object.
    current_version: Current version of the object, 0 if it does not exist.
  """

  def __init__(self, key: str, current_version: int):
    super().__init__(f'{key} is at version {current_version}')
    self.key = key
    self.current_version = current_version


class WatchExpiredError(PlatformError):
  """The revision to watch from is no longer available; list again first."""


class EndpointError(MulberrypickError):
  """A call to an endpoint failed.

  Attributes:
    endpoint: Name of the endpoint.
  """

  def __init__(self, endpoint: str, message: str):
    super().__init__(f'{endpoint}: {message}')
    self.endpoint = endpoint


class EndpointUnreachableError(EndpointError):
  """No byte of the request reached the endpoint, so it was not run."""


class EndpointRefusedError(EndpointError):
  """The endpoint answered that it did not run the request."""


class EndpointDrainingError(EndpointRefusedError):
  """The endpoint is leaving and accepts no new work."""


class EndpointFailedError(EndpointError):
  """The connection failed after the request was sent; outcome unknown."""


class StaleFenceError(EndpointError):
  """The engine refused an order because its fencing number is too old.

  Attributes:
    current_fence: The engine's current fencing number.
  """

  def __init__(self, endpoint: str, current_fence: int):
    super().__init__(endpoint, f'the current fencing number is {current_fence}')
    self.current_fence = current_fence


class RequestError(MulberrypickError):
  """The final answer to a caller whose request was not served.

  Attributes:
    status: HTTP status.
    kind: Stable type name in the JSON body.
    run: What is known of the execution: `RUN_NOT_RUN`, `RUN_UNKNOWN`,
      `RUN_PARTIAL` or `RUN_DONE`.
    retry_after_s: Seconds to wait before a retry, 0 if a retry does not help.
  """

  status = 500
  kind = 'internal_error'

  def __init__(
      self,
      message: str,
      run: str = RUN_NOT_RUN,
      retry_after_s: float = 0.0,
  ):
    super().__init__(message)
    self.run = run
    self.retry_after_s = retry_after_s


class BadRequestError(RequestError):
  """The request is malformed."""

  status = 400
  kind = 'bad_request'


class UnauthorizedError(RequestError):
  """The caller is not authenticated."""

  status = 401
  kind = 'unauthorized'


class ForbiddenError(RequestError):
  """The tenant may not use this service or rank."""

  status = 403
  kind = 'forbidden'


class NotFoundError(RequestError):
  """The path, model, tenant or service does not exist."""

  status = 404
  kind = 'not_found'


class MethodNotAllowedError(RequestError):
  """The path does not support the method."""

  status = 405
  kind = 'method_not_allowed'


class SlowSenderError(RequestError):
  """The caller took too long to send its request."""

  status = 408
  kind = 'request_timeout'


class KeyConflictError(RequestError):
  """The idempotency key was used before with a different call."""

  status = 409
  kind = 'idempotency_key_conflict'


class CallPendingError(RequestError):
  """The same call is still running for an earlier request."""

  status = 409
  kind = 'call_pending'


class AnswerNotKeptError(RequestError):
  """The call ran and was answered, but its answer is not stored."""

  status = 410
  kind = 'answer_not_kept'


class TooLargeError(RequestError):
  """The body or the requested work exceeds a limit."""

  status = 413
  kind = 'too_large'


class OverloadedError(RequestError):
  """The fleet or the share of the tenant is fully used."""

  status = 429
  kind = 'overloaded'


class RepeatedCrashError(RequestError):
  """The request crashed every endpoint that ran it and is quarantined."""

  status = 422
  kind = 'repeated_crash'


class UnavailableError(RequestError):
  """Something that the request needs is temporarily unavailable."""

  status = 503
  kind = 'unavailable'


class OutcomeUnknownError(RequestError):
  """A non-repeatable call was sent, and its answer was lost."""

  status = 502
  kind = 'outcome_unknown'


class DeadlineError(RequestError):
  """The request can't be served before its deadline."""

  status = 504
  kind = 'deadline'
