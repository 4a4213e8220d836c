"""Many idle engines in one process, to measure the cost of polling a fleet.

Each engine answers `/NAME/load` and `/NAME/events` like an idle engine; it
can't generate. The address of an engine is `ip:port/NAME`.
"""

import click
import msgspec

from mulberrypick.core import records
from standins import wire

THREADS = 64


class IdleEnginesApp(wire.App):
  """Serves all engines; the first path segment names the engine."""

  def set_fault(self, name: str, value: object) -> None:
    """Rejects every fault: idle engines support none of their own."""
    raise ValueError(name)

  def handle(self, call: wire.Call) -> wire.Answer:
    """Answers `load` with a report, other paths with no cache events."""
    _, name, report = call.path.split('/', 2)
    if report == 'load':
      return wire.Answer(200, msgspec.json.encode(make_idle_report(name)))
    return wire.json_answer({'events': []})


def make_idle_report(name: str) -> dict[str, object]:
  """Returns the load report of an idle engine as a JSON object."""
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
@click.option(
    '--listen',
    default='127.0.0.1:0',
    help='ip:port to listen on; port 0 for any free port.',
)
def main(listen: str) -> None:
  """Runs many idle engines in one process."""
  wire.set_up_logs()
  wire.run(IdleEnginesApp(), listen, THREADS, 'crowd')


if __name__ == '__main__':
  main()
