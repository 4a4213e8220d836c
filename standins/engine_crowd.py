"""Many idle engines in one process, for the cost of watching a large fleet.

Each answers `/NAME/load` and `/NAME/events` as an idle engine does; a crowd
can't generate. An address of the crowd is `ip:port/NAME`.
"""

import click
import msgspec

from mulberrypick.core import records
from standins import wire

THREADS = 64


class IdleEnginesApp(wire.App):
  """Answers for every engine by the name in the path."""

  def take_fault(self, name: str, value: object) -> None:
    """Knows no fault of its own."""
    raise ValueError(name)

  def handle(self, call: wire.Call) -> wire.Answer:
    """Answers one call."""
    _, name, question = call.path.split('/', 2)
    if question == 'load':
      return wire.Answer(200, msgspec.json.encode(make_idle_report(name)))
    return wire.json_answer({'events': []})


def make_idle_report(name: str) -> dict[str, object]:
  """Makes the load report of an idle engine."""
  report = records.EngineReport(
      name,
      1,
      records.ROLE_MIXED,
      ('m',),
      0,
      0,
      2000,
      2000,
      False,
      8000.0,
      0.01,
      0.5,
  )
  return report._asdict()


@click.command()
@click.option('--listen', default='127.0.0.1:0', help='ip:port.')
def main(listen: str) -> None:
  """Runs a crowd of idle engines."""
  wire.set_up_logs()
  wire.run(IdleEnginesApp(), listen, THREADS, 'crowd')


if __name__ == '__main__':
  main()
