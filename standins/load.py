"""Load generator: open-loop arrivals, with each answer checked token by token.

As a library, `run_load` sends the arrivals that `load_plan` draws and returns
the results, which `load_summary` aggregates. As a command, it reads work
classes and phases from a JSON file:

    {"classes": [{"name": "ask", "service": "assistant", "model": "m"}],
     "phases": [{"duration_s": 5, "rate_by_class": {"ask": 10}}]}
"""

import pathlib
import time
from concurrent import futures

import click
import msgspec

from standins import load_client
from standins import load_plan
from standins import load_summary

MAX_OPEN_REQUESTS = 1000


class PlanError(Exception):
  """A load plan is malformed."""


def run_load(
    client: load_client.LoadClient,
    arrivals: list[load_plan.Arrival],
    open_limit: int = MAX_OPEN_REQUESTS,
) -> list[load_summary.Result]:
  """Sends each request at its planned time and waits until all have ended.

  Args:
    client: Client that sends the requests.
    arrivals: The planned requests, earliest first.
    open_limit: Maximum number of requests in flight. Further ones wait, and
      the delay shows in `late_s` of their results.

  Returns:
    One result per arrival, in the same order.
  """
  started_at = time.monotonic()
  with futures.ThreadPoolExecutor(open_limit) as workers:
    pending = []
    for arrival in arrivals:
      planned_at = started_at + arrival.at_s
      time.sleep(max(0.0, planned_at - time.monotonic()))
      pending.append(workers.submit(client.run, arrival, planned_at))
    return [future.result() for future in pending]


def read_plan(
    text: bytes,
) -> tuple[list[load_plan.WorkClass], list[load_plan.Phase]]:
  """Parses work classes and phases from JSON.

  Raises:
    PlanError: The text is not valid JSON, or a field is missing or unknown.
  """
  try:
    plan = msgspec.json.decode(text, type=dict)
    classes = [load_plan.WorkClass(**fields) for fields in plan['classes']]
    phases = [load_plan.Phase(**fields) for fields in plan['phases']]
  except (msgspec.MsgspecError, KeyError, TypeError) as error:
    raise PlanError(str(error)) from error
  return classes, phases


@click.command()
@click.option(
    '--url', 'urls', multiple=True, required=True, help='Base URL of an entry.'
)
@click.option('--plan', required=True, type=click.Path(exists=True))
@click.option('--seed', default=1, help='Seed of the arrivals.')
@click.option(
    '--source-ip',
    default='',
    help='Local IP address of connections; empty for the default.',
)
@click.option(
    '--open-limit',
    default=MAX_OPEN_REQUESTS,
    help='Maximum number of requests in flight.',
)
def main(
    urls: tuple[str, ...], plan: str, seed: int, source_ip: str, open_limit: int
):
  """Runs a load plan and prints a table by rank and one by tenant."""
  try:
    classes, phases = read_plan(pathlib.Path(plan).read_bytes())
  except PlanError as error:
    raise click.ClickException(f'{plan}: {error}') from error
  arrivals = load_plan.plan_arrivals(classes, phases, seed)
  client = load_client.LoadClient(list(urls), source_ip)
  results = run_load(client, arrivals, open_limit)
  duration_s = sum(phase.duration_s for phase in phases)
  for field in ('rank', 'tenant'):
    click.echo(
        load_summary.format_table(
            load_summary.summarize_by(field, results, duration_s)
        )
    )


if __name__ == '__main__':
  main()
