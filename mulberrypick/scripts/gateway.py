"""The program `mulberrypick-gateway`: serves callers on a gateway host.

It uses the platform protocol of the package `mulberrypick.platform`.
"""

import signal
import sys


def main() -> None:
  """Runs the program.

  A signal without a handler kills the process, and signals may arrive during
  the imports below, which take about 0.1 s. So handlers are installed before
  the imports. SIGTERM and SIGINT then end the program at once with status 0,
  because it has not accepted any request yet that it would have to finish.
  SIGHUP, which asks for the settings to be read again, is ignored.
  """
  for signal_number in (signal.SIGTERM, signal.SIGINT):
    signal.signal(signal_number, lambda *_: sys.exit(0))
  signal.signal(signal.SIGHUP, signal.SIG_IGN)
  from mulberrypick.scripts import gateway_app

  gateway_app.main()


if __name__ == '__main__':
  main()
