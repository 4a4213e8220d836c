r"""Runs one call of a plain service and kills its own process at a given step.

    python -m standins.claim_driver --platform http://127.0.1.1:8080 \
        --service 127.0.1.1:8081 --peers 127.0.1.1:8082 --key k1

The environment variable `MULBERRYPICK_KILL_AT` names the step: one of the
steps of `call_steps` or one of the `STEP_` constants below. At that step the
process ends by SIGKILL, so no cleanup runs.
"""

import os
import signal
import threading
import time

import click

from mulberrypick.adapters import http_platform
from mulberrypick.adapters import http_service
from mulberrypick.adapters import platform
from mulberrypick.adapters import service
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import claims
from mulberrypick.core import records
from mulberrypick.ops import call_steps
from mulberrypick.ops import plain_calls

STEP_VARIABLE = 'MULBERRYPICK_KILL_AT'
# Steps before and after the claim is written, and before and after the answer
# is recorded.
STEP_CLAIM_WRITE = 'claim_write'
STEP_CLAIM_WRITTEN = 'claim_written'
STEP_RECORD_WRITE = 'record_write'
STEP_RECORD_WRITTEN = 'record_written'
# The call is about to be sent, but no byte has been sent yet.
STEP_SENDING = 'sending'
# The service is executing the call.
STEP_IN_CALL = 'in_call'

WRITE_STEPS = (
    (STEP_CLAIM_WRITE, STEP_CLAIM_WRITTEN),
    (STEP_RECORD_WRITE, STEP_RECORD_WRITTEN),
)
TIMEOUT_S = 5.0
IN_CALL_DELAY_S = 0.3
BODY = b'{"bales":3}'
SERVICE = records.Service(
    'desk', records.KIND_PLAIN, '', '', 'urgent', False, 3, TIMEOUT_S
)


def make_booking_call(key: str) -> records.PlainCall:
  """Creates the test's call, a booking, with an idempotency key.

  The driver, and the test that repeats its call on another host, both create it
  here, so that with the same key they make the same call.
  """
  return records.PlainCall(
      'r1',
      'mill',
      'urgent',
      SERVICE.name,
      'POST',
      '/bookings',
      'application/json',
      BODY,
      key,
      time.monotonic() + 4 * TIMEOUT_S,
  )


def make_host(address: str) -> records.Host:
  """Creates the host record of the service endpoint at an address."""
  return records.Host(
      'desk-1',
      'a',
      records.HOST_SERVICE,
      address,
      '',
      SERVICE.name,
      1,
      records.STATE_LIVE,
      False,
  )


class KillAtStep(call_steps.StepObserver):
  """Kills this process when it reaches a given step."""

  def __init__(self, step: str):
    self._step = step

  def observe(self, step: str) -> None:
    """Kills this process if `step` is the step to be killed at."""
    if step == self._step:
      os.kill(os.getpid(), signal.SIGKILL)


class KillPointPlatform(http_platform.HttpPlatform):
  """A platform client with a kill point before and after each slot write."""

  kill_observer = KillAtStep('')
  claim_writes = 0

  def put(self, key: str, value: bytes, expected_version: int) -> int:
    """Writes an object if it has the expected version."""
    if not key.startswith(claims.SLOT_PREFIX):
      return super().put(key, value, expected_version)
    before, after = WRITE_STEPS[min(self.claim_writes, 1)]
    self.claim_writes += 1
    self.kill_observer.observe(before)
    version = super().put(key, value, expected_version)
    self.kill_observer.observe(after)
    return version


class KillPointService(service.PlainService):
  """A service client with a kill point before and during each call."""

  def __init__(self, kill_observer: KillAtStep):
    self._kill_observer = kill_observer
    self._service = http_service.HttpPlainService()

  def call(
      self,
      endpoint: str,
      address: str,
      call: records.PlainCall,
      timeout_s: float,
  ) -> records.PlainAnswer:
    """Sends one call to the service."""
    self._kill_observer.observe(STEP_SENDING)
    timer = threading.Timer(
        IN_CALL_DELAY_S, self._kill_observer.observe, (STEP_IN_CALL,)
    )
    timer.daemon = True
    timer.start()
    return self._service.call(endpoint, address, call, timeout_s)


def make_runner(
    platform_client: platform.Platform,
    service_client: service.PlainService,
    peers: zmq_peers.ZmqPeers,
    name: str,
    peer_address: str,
    observer: call_steps.StepObserver | None = None,
) -> plain_calls.PlainCallRunner:
  """Creates a call runner that waits 0.2 s at most for other claimants."""
  return plain_calls.PlainCallRunner(
      platform_client,
      service_client,
      peers,
      name,
      peer_address,
      observer=observer,
      pending_timeout_s=0.2,
  )


@click.command()
@click.option(
    '--platform',
    'platform_url',
    required=True,
    help='Base URL of the platform.',
)
@click.option(
    '--service',
    'service_address',
    required=True,
    help='ip:port of the service.',
)
@click.option(
    '--peers',
    'peer_address',
    required=True,
    help='ip:port to listen on for peers.',
)
@click.option('--key', required=True, help='Idempotency key of the call.')
def main(
    platform_url: str, service_address: str, peer_address: str, key: str
) -> None:
  """Runs the call, unless the process is killed at a step before its end."""
  kill_observer = KillAtStep(os.environ.get(STEP_VARIABLE, ''))
  platform_client = KillPointPlatform(platform_url, '', TIMEOUT_S, 'driver')
  platform_client.kill_observer = kill_observer
  peers = zmq_peers.ZmqPeers(peer_address, 'driver')
  runner = make_runner(
      platform_client,
      KillPointService(kill_observer),
      peers,
      'driver',
      peer_address,
      kill_observer,
  )
  peers.start()
  runner.start()
  hosts = [make_host(service_address)]
  answer = runner.run(make_booking_call(key), SERVICE, hosts, time.monotonic)
  print(answer.body.decode())
  runner.stop()
  peers.stop()


if __name__ == '__main__':
  main()
