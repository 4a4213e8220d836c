"""Computes the tables of docs/CAPACITY.md from docs/slopes.toml.

    python -m standins.capacity           # prints the tables
    python -m standins.capacity --write   # puts them into the page

The users state the target size of the fleet. The cost of the code at that size
follows from the measured slopes and from the limits in the code. A test fails
when the page is stale.
"""

import math
import pathlib
import sys
import tomllib
from typing import NamedTuple

import click
import msgspec

from mulberrypick.core import records
from mulberrypick.ops import fleet_task

SLOPES_FILE = pathlib.Path('docs/slopes.toml')
PAGE = pathlib.Path('docs/CAPACITY.md')
TABLES_BEGIN = '<!-- tables: python -m standins.capacity --write -->\n'
TABLES_END = '<!-- end of tables -->\n'

DAEMONS = 400
REPLICAS = 1_700
ZONES = 5
MODELS = 19
REQUESTS_PER_S = 5_700
TOKENS_PER_S = 1_500_000
CHANGES_PER_DAY = 6_000
DAY_S = 86_400
MAX_SPREAD_S = 19.0
MAX_CORE_PERCENT = 4.7
MAX_MEMORY_MB = 64.0
MAX_BYTES_PER_S = 3_000.0
MAX_PLATFORM_WRITES_PER_S = 400.0
MAX_PLATFORM_READS_PER_S = 2_000.0
MAX_LOAD_AGE_S = 2.0
MAX_SWEEP_S = 5.0
# Replicas of each model that one daemon would route to.
REPLICA_SUBSET_SIZE = 24
HOSTS_READER_COUNT = 2
MEASURED_DAEMONS = 8


class Row(NamedTuple):
  """One line of a capacity table.

  Attributes:
    role: Process, and part of it, that the quantity belongs to.
    what: Name of the quantity.
    value: Its value at the target size, with the present code.
    limit: Its limit.
    unit: Unit of both.
    mechanism: Mechanism that keeps, or would bring, the value below the limit.
  """

  role: str
  what: str
  value: float
  limit: float
  unit: str
  mechanism: str

  @property
  def verdict(self) -> str:
    """`holds`, or the factor by which the value exceeds the limit."""
    if self.value <= self.limit:
      return 'holds'
    return f'misses by {self.value / self.limit:.1f}x'


def read_slopes() -> dict[str, float]:
  """Reads the measured cost per unit of size, by name."""
  data = tomllib.loads(SLOPES_FILE.read_text())
  return {name: entry['value'] for name, entry in data.items()}


def count_report_bytes() -> int:
  """Returns the encoded size of one load report between entries."""
  report = records.EngineReport(
      'engine-1234',
      1,
      records.ROLE_MIXED,
      ('reading-guide+summary',),
      1000,
      20,
      2000,
      1000,
      False,
      8000.0,
      0.01,
      0.5,
  )
  return len(msgspec.msgpack.encode(report))


def list_data_rows(slopes: dict[str, float]) -> list[Row]:
  """Computes the table rows for the data path of one daemon."""
  tokens = TOKENS_PER_S / DAEMONS
  requests = REQUESTS_PER_S / DAEMONS
  core = tokens * slopes['token_core_us'] + requests * slopes['request_core_us']
  bookings = MAX_PLATFORM_WRITES_PER_S / slopes['writes_per_booking']
  return [
      Row(
          'entry, data',
          f'{requests:.1f} requests and {tokens:.0f} tokens a second',
          core / 1e6 * 100,
          100.0,
          '% of a core',
          'a thread a stream; one system call to read and to write a token',
      ),
      Row(
          'entry, data',
          'share of all requests that could be bookings',
          REQUESTS_PER_S / bookings * 100,
          100.0,
          '% of 400 writes/s if all were',
          'slots with group commit; archives of sealed slots for retention',
      ),
  ]


def list_control_rows(slopes: dict[str, float]) -> list[Row]:
  """Computes the table rows for the control traffic of one daemon."""
  zone_daemons = DAEMONS / ZONES
  polled = REPLICAS / zone_daemons
  polls_per_s = min(polled * 2, fleet_task.MAX_POLLS_PER_S)
  poll_core = polls_per_s / 2 * slopes['poll_core_percent_per_engine']
  peer_core = (DAEMONS - 1) * slopes['control_core_percent_per_peer']
  change_core = CHANGES_PER_DAY * slopes['config_change_core_s'] / DAY_S * 100
  core = slopes['control_core_percent'] + poll_core + peer_core + change_core
  load_bytes = (DAEMONS - 1) * slopes['load_message_bytes']
  load_s = min(
      load_bytes / fleet_task.MAX_LOAD_BYTES_PER_S,
      fleet_task.MAX_LOAD_INTERVAL_S,
  )
  report_s = (
      (zone_daemons - 1)
      * polled
      * count_report_bytes()
      / fleet_task.MAX_REPORTS_BYTES_PER_S
  )
  subset_core = REPLICA_SUBSET_SIZE * slopes['poll_core_percent_per_engine'] / 3
  memory = (
      slopes['entry_memory_mb']
      + slopes['decision_memory_mb']
      + slopes['config_memory_mb']
  )
  config_bytes = (
      slopes['config_bytes_per_s']
      + CHANGES_PER_DAY * slopes['config_change_bytes'] / DAY_S * 2
  )
  fleet_bytes = (
      load_bytes / load_s
      + fleet_task.MAX_REPORTS_BYTES_PER_S
      + fleet_task.MAX_CACHE_BYTES_PER_S
  )
  return [
      Row(
          'entry, control',
          'processor time',
          core,
          MAX_CORE_PERCENT,
          '% of a core',
          'a message to each peer goes; zone digests by a relay a zone instead',
      ),
      Row(
          'entry, control',
          f'polls of a subset of {REPLICA_SUBSET_SIZE} replicas once a second',
          subset_core,
          MAX_CORE_PERCENT,
          '% of a core',
          'subsets by rendezvous hash, so that no report has to be passed on',
      ),
      Row(
          'entry, control',
          'memory',
          memory,
          MAX_MEMORY_MB,
          'MB',
          'leaves of the configuration decoded on demand, one copy in memory',
      ),
      Row(
          'entry, control',
          'bytes, fleet news and configuration',
          fleet_bytes + config_bytes,
          MAX_BYTES_PER_S,
          'B/s',
          'zone digests by a relay; deltas of tenants, not leaves',
      ),
      Row(
          'entry, control',
          "age of a peer's load, told to every peer",
          load_s,
          MAX_LOAD_AGE_S,
          's',
          'digest a zone, in-zone news to the hosts that share a subset only',
      ),
      Row(
          'entry, control',
          "age of an engine's report, within the budget of bytes",
          report_s,
          MAX_LOAD_AGE_S,
          's',
          'direct polls of the own subset; load in the head of each answer',
      ),
  ]


def list_other_rows(slopes: dict[str, float]) -> list[Row]:
  """Computes the table rows for controllers, platform and configuration."""
  zone_daemons = DAEMONS / ZONES
  standby_reads = (zone_daemons - 1) * ZONES * slopes['standby_reads_per_s']
  reads = (
      standby_reads
      + ZONES * slopes['holder_calls_per_s']
      + ZONES * HOSTS_READER_COUNT
      + ZONES * HOSTS_READER_COUNT
  )
  rounds = math.log2(DAEMONS) / math.log2(MEASURED_DAEMONS)
  ask_core = DAEMONS * slopes['demand_ask_core_us'] / 1e6 * 100
  return [
      Row(
          'controller',
          'time to look at every engine of a zone',
          REPLICAS / ZONES / slopes['sweep_engines_per_s'],
          MAX_SWEEP_S,
          's',
          'leases by group of engines in a zone, each with its own holder',
      ),
      Row(
          'controller',
          'asking every entry for its demand once a second',
          ask_core,
          MAX_CORE_PERCENT,
          '% of a core',
          'demand carried in the zone digests',
      ),
      Row(
          'platform',
          'reads: leases, hosts, watches',
          reads,
          MAX_PLATFORM_READS_PER_S,
          'a second',
          'two readers a zone; standbys further down read more rarely',
      ),
      Row(
          'platform',
          'writes: changes of configuration, 3 parts and a head each',
          CHANGES_PER_DAY * 4 / DAY_S,
          MAX_PLATFORM_WRITES_PER_S,
          'a second',
          'content-addressed parts',
      ),
      Row(
          'configuration',
          'time to the last daemon, by rounds of gossip',
          slopes['config_spread_s'] * rounds,
          MAX_SPREAD_S,
          's',
          'push to a few partners, digests each second',
      ),
  ]


def render_rows(rows: list[Row]) -> str:
  """Renders rows as a Markdown table."""
  lines = [
      "| role | what | at the target | limit | today's code | mechanism |",
      '| --- | --- | --- | --- | --- | --- |',
  ]
  for row in rows:
    lines.append(
        f'| {row.role} | {row.what} | {row.value:,.1f} {row.unit}'
        f' | {row.limit:,.1f} | {row.verdict} | {row.mechanism} |'
    )
  return '\n'.join(lines) + '\n'


def render_slopes() -> str:
  """Renders the slopes and their commands as a Markdown table."""
  data = tomllib.loads(SLOPES_FILE.read_text())
  lines = ['| slope | value | command |', '| --- | --- | --- |']
  for entry in data.values():
    lines.append(
        f'| {entry["what"]} | {entry["value"]:g} | `{entry["command"]}` |'
    )
  return '\n'.join(lines) + '\n'


def render_tables() -> str:
  """Renders all tables of the page."""
  slopes = read_slopes()
  rows = (
      list_data_rows(slopes)
      + list_control_rows(slopes)
      + list_other_rows(slopes)
  )
  return f'\n{render_rows(rows)}\n## Slopes\n\n{render_slopes()}\n'


def replace_tables(page: str, tables: str) -> str:
  """Returns the page with its generated tables replaced."""
  head, _, rest = page.partition(TABLES_BEGIN)
  _, _, tail = rest.partition(TABLES_END)
  return head + TABLES_BEGIN + tables + TABLES_END + tail


@click.command()
@click.option('--write', is_flag=True, help='Write the tables into the page.')
def main(write: bool) -> None:
  """Prints the tables, or writes them into docs/CAPACITY.md."""
  tables = render_tables()
  if not write:
    click.echo(tables)
    return
  PAGE.write_text(replace_tables(PAGE.read_text(), tables))


if __name__ == '__main__':
  sys.exit(main())
