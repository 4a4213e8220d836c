"""Kills a claimant at each step and repeats its call on another host."""

import os
import pathlib
import signal
import subprocess
import sys
import tempfile
import time
import unittest

from mulberrypick.adapters import http_platform
from mulberrypick.adapters import http_service
from mulberrypick.adapters import zmq_peers
from mulberrypick.core import claims
from mulberrypick.core import errors
from mulberrypick.ops import call_steps
from standins import claim_driver
from standins import launcher

WAIT_S = 60.0
WORK_S = '1.3'

ANSWERED = 'answered'
UNKNOWN = 'unknown'

# Outcome of the repeated call and total number of executions, by the step at
# which the first claimant is killed.
EXPECTED_BY_STEP = {
    call_steps.STEP_BEFORE_CLAIM: (ANSWERED, 1),
    claim_driver.STEP_CLAIM_WRITE: (ANSWERED, 1),
    claim_driver.STEP_CLAIM_WRITTEN: (UNKNOWN, 0),
    call_steps.STEP_CLAIMED: (UNKNOWN, 0),
    call_steps.STEP_BEFORE_SEND: (UNKNOWN, 0),
    claim_driver.STEP_SENDING: (UNKNOWN, 0),
    claim_driver.STEP_IN_CALL: (UNKNOWN, 1),
    call_steps.STEP_ANSWERED: (UNKNOWN, 1),
    claim_driver.STEP_RECORD_WRITE: (UNKNOWN, 1),
    claim_driver.STEP_RECORD_WRITTEN: (ANSWERED, 1),
    call_steps.STEP_RECORDED: (ANSWERED, 1),
}


class TestKilledClaimant(unittest.TestCase):

  @classmethod
  def setUpClass(cls):
    folder = cls.enterClassContext(tempfile.TemporaryDirectory())
    cls.fleet = cls.enterClassContext(launcher.Fleet(pathlib.Path(folder)))
    cls.fleet.start_platform()
    cls.service_program = cls.fleet.start_service(
        'desk-1', 0, 'desk', '--work-s', WORK_S
    )

  def make_runner(self, name, address='127.0.0.1:0'):
    peers = zmq_peers.ZmqPeers(address, name)
    url = self.fleet.platform.url
    platform_client = http_platform.HttpPlatform(
        url, '', claim_driver.TIMEOUT_S, name
    )
    service_client = http_service.HttpPlainService()
    if address.endswith(':0'):
      address = launcher.free_address('127.0.0.1')
      peers.address = address
    runner = claim_driver.make_runner(
        platform_client, service_client, peers, name, address
    )
    peers.start()
    self.addCleanup(peers.stop)
    runner.start()
    self.addCleanup(runner.stop)
    return runner

  def run_driver(self, key, step, peer_address):
    """Runs a claimant process and returns its exit status."""
    command = [sys.executable, '-m', 'standins.claim_driver']
    command += ['--platform', self.fleet.platform.url, '--key', key]
    command += [
        '--service',
        self.service_program.address,
        '--peers',
        peer_address,
    ]
    variables = {**os.environ, claim_driver.STEP_VARIABLE: step}
    done = subprocess.run(
        command, env=variables, timeout=WAIT_S, capture_output=True
    )
    if done.returncode > 0:
      sys.stderr.write(done.stderr.decode())
    return done.returncode

  def repeat_call(self, runner, key):
    """Repeats the call; returns its outcome and the body of the answer."""
    hosts = [claim_driver.make_host(self.service_program.address)]
    call = claim_driver.make_booking_call(key)
    try:
      answer = runner.run(call, claim_driver.SERVICE, hosts, time.monotonic)
    except errors.RequestError as error:
      return error.run, b''
    return ANSWERED, answer.body

  def count_executions(self, key):
    counts = self.fleet.call(self.service_program, 'GET', '/executions')[
        'count_by_key'
    ]
    return counts.get(key, 0)

  def test_call_runs_at_most_once_if_its_claimant_is_killed_at_any_step(self):
    other = self.make_runner('other')
    for step, expected in EXPECTED_BY_STEP.items():
      with self.subTest(step):
        address = launcher.free_address('127.0.0.1')
        status = self.run_driver(step, step, address)
        self.assertEqual(-signal.SIGKILL, status)
        outcome, body = self.repeat_call(other, step)
        self.assertEqual(expected, (outcome, self.count_executions(step)))
        # A host that restarts at the address of the killed one gets the same.
        restarted = self.make_runner('driver', address)
        self.assertEqual((outcome, body), self.repeat_call(restarted, step))
        self.assertEqual(expected[1], self.count_executions(step))

  def test_claimant_that_survives_records_its_answer(self):
    address = launcher.free_address('127.0.0.1')
    self.assertEqual(0, self.run_driver('alive', '', address))
    outcome, body = self.repeat_call(self.make_runner('other'), 'alive')
    self.assertEqual(ANSWERED, outcome)
    self.assertIn(b'"key":"alive"', body)
    self.assertEqual(1, self.count_executions('alive'))

  def test_lost_answers_to_claim_and_record_writes_are_harmless(self):
    other = self.make_runner('other')
    self.fleet.put_fault(
        self.fleet.platform, lose_answers=2, lose_prefix=claims.SLOT_PREFIX
    )
    outcome, body = self.repeat_call(other, 'lost')
    self.assertEqual(ANSWERED, outcome)
    self.assertEqual(
        (outcome, body), self.repeat_call(self.make_runner('b'), 'lost')
    )
    self.assertEqual(1, self.count_executions('lost'))

  def test_call_is_refused_as_not_run_in_an_outage_and_runs_after_it(self):
    other = self.make_runner('other')
    self.fleet.put_fault(self.fleet.platform, outage_s=3600)
    outcome, _ = self.repeat_call(other, 'outage')
    self.assertEqual(errors.RUN_NOT_RUN, outcome)
    self.assertEqual(0, self.count_executions('outage'))
    self.fleet.put_fault(self.fleet.platform, outage_s=0)
    deadline = time.monotonic() + WAIT_S
    while outcome != ANSWERED and time.monotonic() < deadline:
      time.sleep(0.05)
      outcome, _ = self.repeat_call(other, 'outage')
    self.assertEqual((ANSWERED, 1), (outcome, self.count_executions('outage')))


if __name__ == '__main__':
  unittest.main()
