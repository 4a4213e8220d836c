"""The program `mulberrypick-gateway`: the data path on the users' platform."""

import signal
import sys


def main() -> None:
  """Runs the program.

  Signals end a process that does not expect them, and may arrive while the
  imports below take their tenth of a second: so they are handled before them.
  A planned stop at that time has nothing to finish.
  """
  for number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(number, lambda *_: sys.exit(0))
  signal.signal(signal.SIGHUP, signal.SIG_IGN)
  from mulberrypick.scripts import gateway_app

  gateway_app.main()


if __name__ == '__main__':
  main()
