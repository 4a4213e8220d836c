"""Logs: one key=value line for each event, through `logging`.

Prompts, answers, bodies and tokens are never logged; request ids join up the
lines of one request over all processes.
"""

import logging
import logging.handlers
import queue
import sys

import logfmter

LEVELS = ('debug', 'info', 'warning', 'error')


# Lines that wait for a reader of standard output; more are dropped and counted.
MAX_QUEUED_LINES = 2000


def configure_queued_logging(
    level: str, program: str, host: str
) -> 'QueuedHandler':
  """Sends all logs of this process to standard output, never waiting for it.

  A thread writes the lines; when whoever reads them stops, lines are dropped.

  Args:
    level: One of `LEVELS`.
    program: Name of the program, on every line.
    host: Name of this host, on every line.

  Returns:
    The handler, which knows how many lines were dropped.
  """
  handler = QueuedHandler(queue.Queue(MAX_QUEUED_LINES))
  handler.addFilter(_ProcessFields(program, host))
  root = logging.getLogger()
  root.handlers = [handler]
  root.setLevel(level.upper())
  writer = logging.StreamHandler(sys.stdout)
  writer.setFormatter(_make_formatter())
  handler.listener = logging.handlers.QueueListener(handler.queue, writer)
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
  """Hands lines to a thread, and drops those that it has no room for.

  Attributes:
    dropped: Lines dropped so far.
  """

  def __init__(self, lines: queue.Queue):
    super().__init__(lines)
    self.dropped = 0

  def prepare(self, record: logging.LogRecord) -> logging.LogRecord:
    """Keeps the fields of the event; the thread formats them."""
    return record

  def enqueue(self, record: logging.LogRecord) -> None:
    """Hands a line over, or drops it."""
    try:
      self.queue.put_nowait(record)
    except queue.Full:
      self.dropped += 1


class _ProcessFields(logging.Filter):
  """Puts the program and its host on every line."""

  def __init__(self, program: str, host: str):
    super().__init__()
    self._program = program
    self._host = host

  def filter(self, record: logging.LogRecord) -> bool:
    if not isinstance(record.msg, dict):
      # A plain message, also of a library, is the event of its line.
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
    event: Name of the event, a word with underscores.
    **fields: What belongs to the event.
  """
  if not logger.isEnabledFor(level):
    return
  logger.log(level, {'event': event, **fields})
