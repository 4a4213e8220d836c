"""Makes planned changes under load and prints how many requests each harmed.

No planned change may cause a request to be cut, wrong, failed or refused.
"""

import pathlib
import shutil
import sys

import click

from standins import changes

LOG_FOLDER = pathlib.Path('out/bench-changes')
RATE = 40.0
SECONDS = 25.0


def main() -> int:
  """Makes each change while about 1,000 requests arrive.

  Returns:
    The exit status: 0 if no request was cut, wrong, failed or refused, else 1.
  """
  shutil.rmtree(LOG_FOLDER, ignore_errors=True)
  all_passed = True
  with changes.start_cluster(LOG_FOLDER) as cluster:
    click.echo(f'{"change":34}{"requests":>9}{"bad":>5}{"took":>9}')
    for name, change in changes.CHANGE_BY_NAME.items():
      result = changes.run_under_load(
          cluster, name, lambda change=change: change(cluster), RATE, SECONDS
      )
      click.echo(
          f'{result.name:34}{result.requests:9}{result.bad:5}'
          f'{result.took_s:7.1f} s'
      )
      all_passed = all_passed and result.bad == 0
  return 0 if all_passed else 1


if __name__ == '__main__':
  sys.exit(main())
