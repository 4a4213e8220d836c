"""Tests of the queue of log lines."""

import contextlib
import io
import logging
import threading
import unittest

from mulberrypick.adapters import logs

_log = logging.getLogger(__name__)


class _SlowOutput(io.StringIO):
  """Takes nothing before `opened` is set."""

  def __init__(self):
    super().__init__()
    self.opened = threading.Event()

  def write(self, text: str) -> int:
    self.opened.wait()
    return super().write(text)


class QueuedLoggingTest(unittest.TestCase):

  def setUp(self):
    root = logging.getLogger()
    self.addCleanup(root.setLevel, root.level)
    self.addCleanup(setattr, root, 'handlers', root.handlers)

  def test_full_queue_is_written_at_the_exit(self):
    # Guards against an exit that fails, and loses all queued lines, because the
    # queue has no room for its end.
    output = _SlowOutput()
    with contextlib.redirect_stdout(output):
      handler = logs.configure_queued_logging('info', 'gateway', 'host-1')
    while not handler.dropped:
      logs.log_event(_log, logging.INFO, 'one_of_many')
    threading.Timer(0.1, output.opened.set).start()
    handler.listener.stop()
    self.assertGreaterEqual(
        output.getvalue().count('one_of_many'), logs.MAX_QUEUED_LINES
    )


if __name__ == '__main__':
  unittest.main()
