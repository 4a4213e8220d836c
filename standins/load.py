"""The load tool: open-loop arrivals, answers checked token by token.

As a library, `run_load` sends a plan of `load_plan` and returns the results;
`load_summary` makes figures of them. As a command it reads classes and phases
from a JSON file:

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
  """The file of a plan is malformed."""


def run_load(
    client: load_client.LoadClient,
    arrivals: list[load_plan.Arrival],
    open_limit: int = MAX_OPEN_REQUESTS,
) -> list[load_summary.Result]:
  """Sends all arrivals at their times and waits for all to end.

  Args:
    client: Where they are sent.
    arrivals: The plan, earliest first.
    open_limit: Requests under way at most; more wait, and show as late.

  Returns:
    One result for each arrival, in its order.
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
  """Reads classes and phases from JSON.

  Raises:
    PlanError: It is no JSON, or a field is missing or unknown.
  """
  try:
    plan = msgspec.json.decode(text, type=dict)
    classes = [load_plan.WorkClass(**fields) for fields in plan['classes']]
    phases = [load_plan.Phase(**fields) for fields in plan['phases']]
  except (msgspec.MsgspecError, KeyError, TypeError) as error:
    raise PlanError(str(error)) from error
  return classes, phases


@click.command()
@click.option('--url', 'urls', multiple=True, required=True, help='Entry.')
@click.option('--plan', required=True, type=click.Path(exists=True))
@click.option('--seed', default=1, help='Seed of the arrivals.')
@click.option('--source-ip', default='', help='Local IP to connect from.')
@click.option(
    '--open-limit', default=MAX_OPEN_REQUESTS, help='Requests under way.'
)
def main(
    urls: tuple[str, ...], plan: str, seed: int, source_ip: str, open_limit: int
):
  """Sends a plan of requests and prints a table by rank and by tenant."""
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
