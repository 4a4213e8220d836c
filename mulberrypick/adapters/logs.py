"""Structured logs: one line of key=value pairs per event, via `logging`.

Prompts, responses, bodies and tokens are never logged. Request ids connect the
lines of one request across all processes.
"""

import logging
import logging.handlers
import queue
import sys

import logfmter

LEVELS = ('debug', 'info', 'warning', 'error')


# Lines queued while standard output is blocked; further lines are dropped.
MAX_QUEUED_LINES = 2000
# Time for a full queue to get room at the end of the process (s). If it has
# none by then, nobody reads standard output.
FLUSH_TIMEOUT_S = 2.0


def configure_queued_logging(
    level: str, program: str, host: str
) -> 'QueuedHandler':
  """Sends all logs of this process to standard output without blocking.

  A background thread writes the lines. If standard output is blocked and the
  queue is full, lines are dropped.

  Args:
    level: One of `LEVELS`.
    program: Name of the program, on every line.
    host: Name of this host, on every line.

  Returns:
    The handler, which counts the dropped lines.
  """
  handler = QueuedHandler(queue.Queue(MAX_QUEUED_LINES))
  handler.addFilter(_ProcessFields(program, host))
  root = logging.getLogger()
  root.handlers = [handler]
  root.setLevel(level.upper())
  writer = logging.StreamHandler(sys.stdout)
  writer.setFormatter(_make_formatter())
  handler.listener = _QueuedWriter(handler.queue, writer)
  handler.listener.start()
  return handler


def configure_logging(level: str, program: str, host: str) -> None:
  """Sends all logs of this process to standard error.

  Args:
    level: One of `LEVELS`.
    program: Name of the program, on every line.
    host: Name of this host, on every line.
  """
  handler = logging.StreamHandler(sys.stderr)
  handler.setFormatter(_make_formatter())
  handler.addFilter(_ProcessFields(program, host))
  root = logging.getLogger()
  root.handlers = [handler]
  root.setLevel(level.upper())


def _make_formatter() -> logging.Formatter:
  return logfmter.Logfmter(
      keys=['at', 'level'],
      mapping={'at': 'asctime', 'level': 'levelname'},
  )


class QueuedHandler(logging.handlers.QueueHandler):
  """Passes lines to a background thread; drops them if the queue is full.

  Attributes:
    dropped: Number of dropped lines.
  """

  def __init__(self, lines: queue.Queue):
    super().__init__(lines)
    self.dropped = 0

  def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
    """Returns the record as it is; the background thread formats it."""
    return record

  def enqueue(self, record: logging.LogRecord) -> None:
    """Queues a line, or drops it if the queue is full."""
    try:
      self.queue.put_nowait(record)
    except queue.Full:
      self.dropped += 1


class _QueuedWriter(logging.handlers.QueueListener):
  """Writes queued lines in a thread, at the end of the process all of them."""

  def enqueue_sentinel(self) -> None:
    """Queues the end, for which a full queue must have room first."""
    self.queue.put(self._sentinel, timeout=FLUSH_TIMEOUT_S)


class _ProcessFields(logging.Filter):
  """Adds the names of the program and the host to every line."""

  def __init__(self, program: str, host: str):
    super().__init__()
    self._program = program
    self._host = host

  def filter(self, record: logging.LogRecord) -> bool:
    if not isinstance(record.msg, dict):
      # A plain text message, such as one of a library, becomes the event name.
      record.msg = {'event': record.getMessage()}
      record.args = None
    record.program = self._program
    record.host = self._host
    return True


def log_event(
    logger: logging.Logger, level: int, event: str, **fields: object
) -> None:
  """Logs one event.

  Args:
    logger: The logger of the module.
    level: A level of `logging`.
    event: Name of the event, in lower case with underscores.
    **fields: Fields of the event.
  """
  if not logger.isEnabledFor(level):
    return
  logger.log(level, {'event': event, **fields})
