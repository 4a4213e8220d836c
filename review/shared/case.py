"""What all scripts do: a small deployment, the record and the exit status."""

import asyncio
import os
import pathlib
import sys
import tempfile
import time
import traceback
from collections.abc import Awaitable
from collections.abc import Callable

from review.shared import gateway
from review.shared import proxy
from review.shared import replica
from review.shared import requester
from review.shared import store

EXIT_HELD = 0
EXIT_BROKEN = 1
EXIT_NOT_RUN = 2
TIME_LIMIT_S = 115.0


class Deployment:
  """A store, replicas and gateways on loopback, and the record of a run.

  Attributes:
    has_trouble: Whether the disruption happens.
    began_at: When the run began, on the monotonic clock.
    store: The store.
    store_proxy: The way of the gateways to the store.
    replicas: The replicas by id.
    gateways: The gateways.
  """

  def __init__(self, folder: pathlib.Path, workspace: pathlib.Path):
    self.has_trouble = os.environ.get('TROUBLE', '1') != '0'
    self.began_at = time.monotonic()
    self.store = store.Store()
    self.store_proxy: proxy.Proxy | None = None
    self.replicas: dict[str, replica.Replica] = {}
    self.gateways: list[gateway.Gateway] = []
    self._workspace = workspace
    self._record = (folder / 'record.txt').open('w')
    self.note(f'trouble: {"yes" if self.has_trouble else "no"}')

  def note(self, text: str) -> None:
    """Writes a line to the record."""
    now = time.monotonic() - self.began_at
    self._record.write(f'{now:8.3f} {text}\n')
    self._record.flush()

  async def start(
      self,
      config: dict[str, object],
      replicas: list[replica.Replica],
      zones: list[str],
  ) -> None:
    """Starts the store, the replicas, and a gateway for each of the zones."""
    await self.store.server.start('127.0.0.1')
    self.store_proxy = proxy.Proxy('127.0.0.1', self.store.server.port)
    await self.store_proxy.start('127.0.0.1')
    self.store.put('config', 'main', config)
    for item in replicas:
      await item.start('127.0.0.1')
      self.replicas[item.id] = item
      self.store.put('servers', item.id, item.entry())
    for number, zone in enumerate(zones, 1):
      self.gateways.append(
          gateway.Gateway(
              f'edge-{zone}-{number}',
              zone,
              f'127.0.0.{10 + number}',
              self._workspace,
          )
      )
    seeds = [item.control_address for item in self.gateways[:3]]
    address = f'127.0.0.1:{self.store_proxy.port}'
    await asyncio.gather(
        *(item.start(address, seeds) for item in self.gateways)
    )
    self.note(f'{len(self.gateways)} gateways are ready')

  async def close(self) -> None:
    """Ends everything that was started."""
    for item in self.gateways:
      await item.close()
    for item in self.replicas.values():
      item.server.stop()
    if self.store_proxy is not None:
      self.store_proxy.stop()
    self.store.server.stop()
    self._record.close()

  def note_attempts(self, attempts: list[requester.Attempt]) -> None:
    """Writes what was sent, answered and run to the record."""
    for attempt in sorted(attempts, key=lambda a: a.sent_at):
      self.note(attempt.describe(self.began_at))
      for item in self.replicas.values():
        for run in item.runs.get(attempt.request, ()):
          ended = 'goes on'
          if run.ended_at is not None:
            ended = f'ended at {run.ended_at - self.began_at:.3f} s'
          self.note(
              f'  run at {run.replica}: began at'
              f' {run.began_at - self.began_at:.3f} s, {ended},'
              f' {"complete" if run.is_complete else "broken off"}'
          )


def make_route(
    name: str, kind: str, service: str, **changes: object
) -> dict[str, object]:
  """Returns a route; requests to its path prefix `/NAME/` take it."""
  route = {
      'name': name,
      'hostname': requester.HOSTNAME,
      'pathPrefix': f'/{name}/',
      'routeType': kind,
      'timeoutMs': 1000,
      'targetLatencyMs': 200,
      'priority': 2,
      'service': service,
      'maxAttempts': 1,
      'sessionAffinity': kind == 'streaming',
      'resumable': False,
  }
  return route | changes


def make_config(routes: list[dict[str, object]]) -> dict[str, object]:
  """Returns a configuration with a plain service and one of engines."""
  return {
      'version': 7,
      'routes': routes,
      'services': [
          {
              'name': 'engine',
              'healthPath': '/healthz',
              'maxConnections': 370,
              'protocol': 'h1',
              'tls': False,
              'engine': {
                  'slots': 64,
                  'kvCapacity': 783000,
                  'kvTokenBytes': 163840,
                  'linkMbps': 8800000.0,
                  'kvRetentionS': 5.0,
                  'switchS': 3.0,
                  'models': [{'name': 'm'}],
              },
          },
          {
              'name': 'desk',
              'healthPath': '/healthz',
              'maxConnections': 110,
              'protocol': 'h1',
              'tls': False,
          },
      ],
      'limits': {
          'maxHeaderBytes': 16384,
          'maxBodyBytes': 4194304,
          'headerTimeoutMs': 3000,
          'idleTimeoutMs': 15000,
      },
  }


def run(
    folder: pathlib.Path, play: Callable[[Deployment], Awaitable[bool]]
) -> None:
  """Plays a case and exits: 1 if the rule was broken, 0 if it held, else 2."""

  async def _play() -> int:
    with tempfile.TemporaryDirectory() as workspace:
      deployment = Deployment(folder, pathlib.Path(workspace))
      try:
        async with asyncio.timeout(TIME_LIMIT_S):
          has_held = await play(deployment)
        deployment.note('the rule held' if has_held else 'the rule is broken')
        return EXIT_HELD if has_held else EXIT_BROKEN
      except Exception:
        deployment.note(f'not run: {traceback.format_exc()}')
        return EXIT_NOT_RUN
      finally:
        keep = os.environ.get('KEEP_LOGS')
        for item in deployment.gateways if keep else ():
          pathlib.Path(keep, item.name + '.log').write_text(item.log_text())
        await deployment.close()

  status = asyncio.run(_play())
  text = (folder / 'record.txt').read_text().splitlines()
  print('\n'.join(text[-3:]))
  sys.exit(status)
