"""Logs: one key=value line for each event, through `logging`.

Prompts, answers, bodies and tokens are never logged; request ids join up the
lines of one request over all processes.
"""

import logging
import sys

import logfmter

LEVELS = ('debug', 'info', 'warning', 'error')


def configure_logging(level: str, program: str, host: str) -> None:
  """Sends all logs of this process to standard error.

  Args:
    level: One of `LEVELS`.
    program: Name of the program, on every line.
    host: Name of this host, on every line.
  """
  handler = logging.StreamHandler(sys.stderr)
  handler.setFormatter(
      logfmter.Logfmter(
          keys=['at', 'level'],
          mapping={'at': 'asctime', 'level': 'levelname'},
      )
  )
  handler.addFilter(_ProcessFields(program, host))
  root = logging.getLogger()
  root.handlers = [handler]
  root.setLevel(level.upper())


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
