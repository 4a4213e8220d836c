"""Fuzz test of the term watchdog: pauses a sender of orders past its term.

Each round starts a process that sends orders to a recorder as fast as it can,
with the product's order sender, engine adapter and term watchdog. SIGSTOP
pauses the process at a random moment of its term, and SIGCONT continues it
after the term has ended. From then on, no byte may reach the recorder, which
stands for an engine that does not check fencing tokens.

`python -m standins.fuzz_dead_man --rounds 200` runs it. `--fault` disables a
part of the protection, to show that the test can fail.
"""

import random
import selectors
import signal
import socket
import subprocess
import sys
import threading
import time
from typing import NamedTuple

import click

from mulberrypick.adapters import http_engine
from mulberrypick.adapters import memory_platform
from mulberrypick.core import orders
from mulberrypick.core import records
from mulberrypick.ops import lease_holder
from mulberrypick.ops import order_sender
from mulberrypick.ops import term_watchdog

MODULE = 'standins.fuzz_dead_man'
TERM_S = 0.3
ENGINE_TIMEOUT_S = 5.0
CHILD_EXIT_S = 30.0
RECV_BYTES = 65_536
ANSWER = b'HTTP/1.1 202 Accepted\r\nContent-Length: 2\r\n\r\n{}'
BODY_END = b'}'
ENGINE = 'engine'
FAULTS = ('none', 'no-timer', 'no-check-after-arming', 'not-blocked')


class RoundResult(NamedTuple):
  """Result of one round.

  Attributes:
    bytes_before: Number of bytes received before the process continued.
    bytes_after: Number of bytes received after it continued.
    is_killed: Whether SIGALRM killed the process.
  """

  bytes_before: int
  bytes_after: int
  is_killed: bool


class Recorder:
  """An engine that accepts every order and counts the received bytes.

  It has no thread. `pump` reads all bytes that have arrived, so that the count
  is exact while the sender is paused.
  """

  def __init__(self):
    self.received = 0
    self._listener = socket.create_server(('127.0.0.1', 0), backlog=64)
    self._listener.setblocking(False)
    self._selector = selectors.DefaultSelector()
    self._selector.register(self._listener, selectors.EVENT_READ)

  @property
  def address(self) -> str:
    """The `ip:port` that it listens on."""
    ip, port = self._listener.getsockname()
    return f'{ip}:{port}'

  def pump(self, until: float) -> None:
    """Reads until a monotonic time, then on until no data is pending."""
    while True:
      left_s = until - time.monotonic()
      events = self._selector.select(max(left_s, 0))
      if not events and left_s <= 0:
        return
      for key, _ in events:
        if key.fileobj is self._listener:
          self._accept()
        else:
          self._receive(key.fileobj)

  def close(self) -> None:
    """Closes all sockets."""
    for key in list(self._selector.get_map().values()):
      key.fileobj.close()
    self._selector.close()

  def _accept(self) -> None:
    connection, _ = self._listener.accept()
    connection.setblocking(False)
    self._selector.register(connection, selectors.EVENT_READ)

  def _receive(self, connection: socket.socket) -> None:
    """Counts received bytes; a killed sender may reset the connection."""
    try:
      data = connection.recv(RECV_BYTES)
      self.received += len(data)
      if data.endswith(BODY_END):
        connection.send(ANSWER)
    except ConnectionError:
      data = b''
    if not data:
      self._selector.unregister(connection)
      connection.close()


def run_round(seed: str, fault: str = 'none') -> RoundResult:
  """Pauses a sender past its term and counts the bytes it sends.

  Args:
    seed: Seed of the random times.
    fault: One of `FAULTS`.

  Returns:
    The result of the round.
  """
  rng = random.Random(seed)
  recorder = Recorder()
  command = [sys.executable, '-m', MODULE, '--child', recorder.address]
  child = subprocess.Popen([*command, '--fault', fault], stdout=subprocess.PIPE)
  try:
    child.stdout.readline()
    started_at = time.monotonic()
    recorder.pump(started_at + rng.uniform(0.02, TERM_S * 0.9))
    child.send_signal(signal.SIGSTOP)
    # The term began before the child's line was read, so it has ended when this
    # call returns.
    recorder.pump(started_at + TERM_S + rng.uniform(0.05, 0.3))
    before = recorder.received
    child.send_signal(signal.SIGCONT)
    status = _pump_until_exit(recorder, child)
    return RoundResult(
        before, recorder.received - before, -status == signal.SIGALRM
    )
  finally:
    child.kill()
    child.wait()
    child.stdout.close()
    recorder.close()


def _pump_until_exit(recorder: Recorder, child: subprocess.Popen) -> int:
  until = time.monotonic() + CHILD_EXIT_S
  while child.poll() is None and time.monotonic() < until:
    recorder.pump(time.monotonic() + 0.01)
  # The last bytes sent may still be in transit on the loopback interface.
  recorder.pump(time.monotonic() + 0.05)
  return child.wait(CHILD_EXIT_S)


def _inject_fault(fault: str) -> None:
  if fault == 'no-timer':
    term_watchdog.TermWatchdog.arm = lambda self, term_end_at: None
  elif fault == 'no-check-after-arming':
    term_watchdog.TermWatchdog.arm = _arm_unchecked


def _arm_unchecked(
    timer: term_watchdog.TermWatchdog, term_end_at: float
) -> None:
  left_s = term_end_at - time.monotonic()
  if left_s <= 0:
    raise term_watchdog.TermExpiredError('the lease term has ended')
  time.sleep(0.002)  # Widens the race window, so that few rounds suffice.
  signal.setitimer(signal.ITIMER_REAL, left_s)


def run_child(address: str, fault: str) -> None:
  """Sends orders to an address until the term is over."""
  _inject_fault(fault)
  if fault != 'not-blocked':
    term_watchdog.block_sigalrm()
  threading.Thread(target=_idle, daemon=True).start()
  sender = order_sender.OrderSender(
      memory_platform.MemoryPlatform(),
      http_engine.HttpEngine(
          connect_timeout_s=ENGINE_TIMEOUT_S, report_timeout_s=ENGINE_TIMEOUT_S
      ),
      order_sender.OrderTiming(guard_s=0.0, send_s=0.0),
  )
  order = records.Order(ENGINE, 0, 0, records.ACTION_DRAIN, '', '', '', '')
  track = orders.on_read(orders.OrderTracker(), 0, None)
  term = lease_holder.Term(1, time.monotonic() + TERM_S)
  print('started', flush=True)
  while time.monotonic() < term.end_at:
    sender.track_by_engine[ENGINE] = track
    sender.issue(order, address, 0, term)
    track = sender.track_by_engine[ENGINE]


def _idle() -> None:
  """Runs as a second thread, since controllers have several threads too."""
  while True:
    time.sleep(0.0005)


@click.command()
@click.option('--rounds', default=200, show_default=True)
@click.option('--seed', default='1', show_default=True)
@click.option('--fault', type=click.Choice(FAULTS), default='none')
@click.option('--child', hidden=True, default='')
def main(rounds: int, seed: str, fault: str, child: str) -> None:
  """Counts the rounds in which a sender sends bytes after its term."""
  if child:
    run_child(child, fault)
    return
  killed = leaked = 0
  for number in range(rounds):
    result = run_round(f'{seed}/{number}', fault)
    killed += int(result.is_killed)
    leaked += int(result.bytes_after > 0)
  print(
      f'rounds={rounds} seed={seed} fault={fault} ended_by_alarm={killed}'
      f' rounds_with_bytes_after_the_term={leaked}'
  )
  sys.exit(1 if leaked else 0)


if __name__ == '__main__':
  main()
