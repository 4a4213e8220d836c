"""Simulated plain service that counts executions by idempotency key.

It never deduplicates calls, so its counts reveal a call that ran twice.
"""

import collections
import threading
import time
from http import HTTPStatus

import click

from standins import wire

KEY_HEADER = 'HTTP_IDEMPOTENCY_KEY'


class ServiceApp(wire.App):
  """A plain service that executes every call it receives."""

  def __init__(self, name: str, work_s: float):
    super().__init__()
    self._name = name
    self._work_s = work_s
    self._lock = threading.Lock()
    self._count_by_key: collections.Counter[str] = collections.Counter()
    self._total = 0
    self._is_draining = False
    self._delay_s = 0.0
    self._answers_to_lose = 0

  def set_fault(self, name: str, value: object) -> None:
    """Sets `lose_answers` or `delay_s`."""
    if name == 'lose_answers':
      self._answers_to_lose = int(value)
    elif name == 'delay_s':
      self._delay_s = float(value)
    else:
      raise ValueError(name)

  def handle(self, call: wire.Call) -> wire.Answer:
    """Executes a call, or answers a control path of the tests."""
    if call.path == '/executions':
      return self._list_executions()
    if call.path == '/drain' and call.method == 'POST':
      self._is_draining = True
      return wire.json_answer({})
    if self._is_draining:
      return wire.error_answer(HTTPStatus.CONFLICT, 'draining')
    return self._execute(call)

  def _list_executions(self) -> wire.Answer:
    with self._lock:
      counts = dict(self._count_by_key)
      return wire.json_answer({'count_by_key': counts, 'total': self._total})

  def _execute(self, call: wire.Call) -> wire.Answer:
    key = call.headers.get(KEY_HEADER, '')
    with self._lock:
      self._count_by_key[key] += 1
      self._total += 1
      execution = self._total
      is_lost = self._answers_to_lose > 0
      self._answers_to_lose -= int(is_lost)
    time.sleep(self._work_s + self._delay_s)
    if is_lost:
      raise wire.DropConnectionError
    return wire.json_answer(
        {
            'service': self._name,
            'path': call.path,
            'key': key,
            'execution': execution,
        }
    )


@click.command()
@click.option(
    '--listen',
    default='127.0.0.1:0',
    help='ip:port to listen on; port 0 for any free port.',
)
@click.option(
    '--seed', default=0, help='Ignored; the service is deterministic.'
)
@click.option(
    '--name',
    default='service',
    help='Name of the service, as shown in its answers.',
)
@click.option('--work-s', default=0.005, help='Duration of a call, in seconds.')
@click.option(
    '--threads', default=64, help='Maximum number of concurrent calls.'
)
def main(listen: str, seed: int, name: str, work_s: float, threads: int):
  """Runs a simulated plain service."""
  del seed
  wire.set_up_logs()
  wire.run(ServiceApp(name, work_s), listen, threads, name)


if __name__ == '__main__':
  main()
