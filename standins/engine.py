"""Simulated model engine: command line and assembly of its parts."""

import threading
import time

import click

from mulberrypick.core import records
from standins import engine_app
from standins import engine_batch
from standins import engine_events
from standins import engine_loop
from standins import engine_orders
from standins import wire


def make_app(
    orders_settings: engine_orders.Settings,
    batch_settings: engine_batch.Settings,
    app_settings: engine_app.Settings,
    models: tuple[str, ...],
    role: str,
    events: engine_events.CacheEvents,
    load_lag_s: float,
) -> engine_app.EngineApp:
  """Creates the parts of an engine and starts its threads."""
  loop = engine_loop.EngineLoop(batch_settings, events)

  def abort_requests(name: str) -> None:
    loop.send(engine_loop.Cancel(lambda work: name in ('', _name_of(work))))

  orders = engine_orders.Orders(orders_settings, models, role, abort_requests)
  reports = engine_events.LaggingReports(load_lag_s)
  app = engine_app.EngineApp(
      app_settings, batch_settings, loop, orders, events, reports
  )
  app.sample()
  loop.start()
  threading.Thread(target=_sample_forever, args=(app,), daemon=True).start()
  return app


def _name_of(work: engine_batch.Work) -> str:
  return engine_orders.model_name(work.model, work.adapter)


def _sample_forever(app: engine_app.EngineApp) -> None:
  while True:
    time.sleep(engine_events.SAMPLE_INTERVAL_S)
    app.sample()


@click.command()
@click.option(
    '--listen',
    default='127.0.0.1:0',
    help='ip:port to listen on; port 0 for any free port.',
)
@click.option('--seed', default=0, help='Seed of the random loss of events.')
@click.option('--name', default='engine', help='Name of the engine.')
@click.option(
    '--zone', default='', help='Availability zone; ignored by the engine.'
)
@click.option(
    '--incarnation',
    default=1,
    help='Incarnation, a number that must increase with every start.',
)
@click.option('--role', default=records.ROLE_MIXED, help='Role at the start.')
@click.option(
    '--models',
    default='',
    help=(
        'Loaded models, comma-separated: name@version or'
        ' name@version+adapter.'
    ),
)
@click.option('--checks-fence/--no-checks-fence', default=True)
@click.option(
    '--pieces', default=2000, help='Size of the KV memory, in pieces.'
)
@click.option('--piece-tokens', default=16, help='Tokens per piece.')
@click.option('--prefill-tokens-per-s', default=8000.0)
@click.option('--decode-step-s', default=0.010)
@click.option('--decode-seq-s', default=0.0002)
@click.option(
    '--max-running', default=256, help='Maximum batch size, in sequences.'
)
@click.option(
    '--queue',
    default=256,
    help='Maximum number of waiting and running requests.',
)
@click.option(
    '--load-lag-s', default=0.5, help='Minimum age of load reports, in seconds.'
)
@click.option(
    '--event-lag-s', default=0.5, help='Delay of cache events, in seconds.'
)
@click.option(
    '--event-gap-share', default=0.01, help='Fraction of cache events lost.'
)
@click.option('--role-change-s', default=3.0)
@click.option('--load-model-s', default=2.0)
@click.option(
    '--threads', default=300, help='Maximum number of concurrent HTTP requests.'
)
def main(**options):
  """Runs a simulated model engine."""
  wire.set_up_logs()
  batch_settings = engine_batch.Settings(
      pieces=options['pieces'],
      piece_tokens=options['piece_tokens'],
      prefill_tokens_per_s=options['prefill_tokens_per_s'],
      decode_step_s=options['decode_step_s'],
      decode_seq_s=options['decode_seq_s'],
      max_running=options['max_running'],
  )
  orders_settings = engine_orders.Settings(
      options['name'],
      options['incarnation'],
      options['checks_fence'],
      options['role_change_s'],
      options['load_model_s'],
  )
  events = engine_events.CacheEvents(
      options['event_lag_s'], options['event_gap_share'], options['seed']
  )
  app = make_app(
      orders_settings,
      batch_settings,
      engine_app.Settings(options['queue']),
      tuple(filter(None, options['models'].split(','))),
      options['role'],
      events,
      options['load_lag_s'],
  )
  wire.run(app, options['listen'], options['threads'], options['name'])


if __name__ == '__main__':
  main()
