"""The program `mulberrypick-gateway`: serves callers on a gateway host.

It uses the platform protocol of the package `mulberrypick.platform`.
"""

import signal
import sys


def main() -> None:
  """Runs the program.

  An unhandled signal kills the process, and signals may arrive during the
  imports below, which take about 0.1 s. So signal handlers are installed before
  them. If a stop is requested by then, there is no request to finish.
  """
  for signal_number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(signal_number, lambda *_: sys.exit(0))
  signal.signal(signal.SIGHUP, signal.SIG_IGN)
  from mulberrypick.scripts import gateway_app

  gateway_app.main()


if __name__ == '__main__':
  main()
