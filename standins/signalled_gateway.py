"""A gateway that gets signals while a given function runs.

    python -m standins.signalled_gateway _socket:socketpair

A function that is called when the program ends is reached by one more signal,
half a second after its start.
"""

import importlib
import os
import signal
import sys
import threading

from mulberrypick.scripts import gateway
from mulberrypick.scripts import gateway_app

STOP_AFTER_S = 0.5


def signal_during(function: str) -> None:
  """Makes a function send SIGTERM and SIGHUP to this process when called."""
  module, _, path = function.partition(':')
  owner = importlib.import_module(module)
  *outer, name = path.split('.')
  for attribute in outer:
    owner = getattr(owner, attribute)
  original = getattr(owner, name)

  def signalled(*args, **kwargs):
    for signal_number in (signal.SIGHUP, signal.SIGTERM):
      os.kill(os.getpid(), signal_number)
    return original(*args, **kwargs)

  setattr(owner, name, signalled)


def main() -> None:
  """Runs the gateway, and stops it if the function does not."""
  # The program's own imports must not call the function.
  assert gateway_app
  signal_during(sys.argv[1])
  threading.Timer(STOP_AFTER_S, os.kill, (os.getpid(), signal.SIGTERM)).start()
  gateway.main()


if __name__ == '__main__':
  main()
