"""Tests of plain calls, with a fake service, peers and platform."""

import collections
import itertools
import logging
import threading
import time
import unittest
from concurrent import futures
from unittest import mock

from mulberrypick.adapters import memory_platform
from mulberrypick.adapters import peers
from mulberrypick.adapters import service
from mulberrypick.core import claims
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import claim_task
from mulberrypick.ops import plain_calls
from mulberrypick.ops import slot_forwarder

BOOKING = records.Service('desk', 'plain', '', '', 'urgent', False, 3, 5.0)
STOCK = BOOKING._replace(name='stock', is_repeatable=True)
WAIT_S = 20.0


def setUpModule():  # noqa: N802 (the name is unittest's)
  """Silences the warnings that the faults of these tests cause."""
  logging.getLogger('mulberrypick').setLevel(logging.CRITICAL)


def tearDownModule():  # noqa: N802
  """Restores the log level."""
  logging.getLogger('mulberrypick').setLevel(logging.NOTSET)


def make_host(name: str) -> records.Host:
  """Creates an endpoint of the booking service."""
  return records.Host(
      name, 'a', 'service', f'{name}:1', '', 'desk', 1, 'live', False
  )


HOSTS = [make_host('desk-1'), make_host('desk-2')]


def make_call(key: str = 'k1', body: bytes = b'two bales') -> records.PlainCall:
  """Creates a call whose deadline is in `WAIT_S` seconds."""
  return records.PlainCall(
      'r1',
      'zagovina',
      'urgent',
      'desk',
      'POST',
      '/book',
      'text/plain',
      body,
      key,
      time.monotonic() + WAIT_S,
  )


class FakePeers(peers.Peers):
  """Delivers messages between entry hosts in this process unless `is_cut`."""

  def __init__(self, address: str, node_by_address: dict[str, 'FakePeers']):
    self.handler_by_kind = {}
    self.is_cut = False
    self._address = address
    self._node_by_address = node_by_address
    node_by_address[address] = self

  def register_handler(self, kind, handler):
    self.handler_by_kind[kind] = handler

  def send(self, peer_address, kind, body):
    node = self._node_by_address.get(peer_address)
    if node is not None and not node.is_cut and not self.is_cut:
      node.handler_by_kind[kind](self._address, body)

  def request(self, peer_address, kind, body, timeout_s):
    node = self._node_by_address.get(peer_address)
    if node is None or node.is_cut or self.is_cut:
      return None
    return node.handler_by_kind[kind](self._address, body)


class FakeService(service.PlainService):
  """Counts executions by key; fails with the error set for an endpoint."""

  def __init__(self):
    self.count_by_key = collections.Counter()
    self.error_by_endpoint = {}
    self.started = threading.Event()
    self.may_answer = threading.Event()
    self.may_answer.set()
    self._numbers = itertools.count(1)

  def call(self, endpoint, address, call, timeout_s):
    error = self.error_by_endpoint.get(endpoint)
    if error is not None and not isinstance(error, errors.EndpointFailedError):
      raise error
    self.count_by_key[call.idempotency_key] += 1
    self.started.set()
    self.may_answer.wait(WAIT_S)
    if error is not None:
      raise error
    return records.PlainAnswer(200, 'text/plain', b'%d' % next(self._numbers))


class PlainCallsTestCase(unittest.TestCase):

  def setUp(self):
    self.platform = memory_platform.MemoryPlatform()
    self.service = FakeService()
    self.node_by_address = {}
    self.a = self.make_runner('a')
    self.b = self.make_runner('b')

  def make_runner(self, name, **options):
    runner = plain_calls.PlainCallRunner(
        self.platform,
        self.service,
        FakePeers(f'{name}:2', self.node_by_address),
        name,
        f'{name}:2',
        **{'pending_timeout_s': 0.2, **options},
    )
    runner.start()
    self.addCleanup(runner.claims.stop, 0.0)
    return runner

  def run_call(self, runner, call=None, target=BOOKING, hosts=HOSTS):
    return runner.run(call or make_call(), target, hosts, time.monotonic)

  def assert_refused(self, error_type, run, runner, *args, **kwargs):
    with self.assertRaises(error_type) as caught:
      self.run_call(runner, *args, **kwargs)
    self.assertEqual(run, caught.exception.run)
    return caught.exception

  def count_open(self):
    listing = self.platform.list_objects(claims.SLOT_PREFIX)
    slots = [claims.decode_slot(v.value) for v in listing.value_by_key.values()]
    found = [r for slot in slots for r in slot.record_by_key.values()]
    return sum(record.state == claims.RECORD_OPEN for record in found)


class TestClaimedCalls(PlainCallsTestCase):

  def test_a_repeat_gets_the_recorded_answer_on_any_entry(self):
    first = self.run_call(self.a)
    self.assertEqual(first, self.run_call(self.a))
    self.assertEqual(first, self.run_call(self.b))
    self.assertEqual({'k1': 1}, self.service.count_by_key)

  def test_the_same_key_with_another_body_is_an_error(self):
    self.run_call(self.a)
    other = make_call(body=b'three bales')
    self.assert_refused(errors.KeyConflictError, 'not_run', self.b, other)

  def test_the_same_key_of_another_tenant_is_another_call(self):
    self.run_call(self.a)
    self.run_call(self.a, make_call()._replace(tenant='hanamura'))
    self.assertEqual(2, self.service.count_by_key['k1'])

  def test_a_missing_key_is_refused(self):
    call = make_call(key='')
    self.assert_refused(errors.BadRequestError, 'not_run', self.a, call)
    self.assertEqual({}, self.service.count_by_key)

  def test_after_an_unreachable_endpoint_the_next_one_is_tried(self):
    unreachable = errors.EndpointUnreachableError('desk-1', 'refused')
    self.service.error_by_endpoint['desk-1'] = unreachable
    self.assertEqual(200, self.run_call(self.a).status)

  def test_not_run_when_no_endpoint_took_it_and_a_repeat_runs(self):
    for host in HOSTS:
      error = errors.EndpointDrainingError(host.name, 'draining')
      self.service.error_by_endpoint[host.name] = error
    self.assert_refused(errors.UnavailableError, 'not_run', self.a)
    self.service.error_by_endpoint.clear()
    self.assertEqual(200, self.run_call(self.b).status)
    self.assertEqual({'k1': 1}, self.service.count_by_key)

  def test_a_lost_answer_is_unknown_on_every_entry_and_never_retried(self):
    lost = errors.EndpointFailedError('desk-1', 'broken')
    self.service.error_by_endpoint['desk-1'] = lost
    self.assert_refused(errors.OutcomeUnknownError, 'unknown', self.a)
    self.service.error_by_endpoint.clear()
    self.assert_refused(errors.OutcomeUnknownError, 'unknown', self.a)
    self.assert_refused(errors.OutcomeUnknownError, 'unknown', self.b)
    self.assertEqual({'k1': 1}, self.service.count_by_key)

  def test_a_repeat_of_a_call_under_way_is_pending_then_answered(self):
    self.service.may_answer.clear()
    with futures.ThreadPoolExecutor() as pool:
      first = pool.submit(self.run_call, self.a)
      self.service.started.wait(WAIT_S)
      self.assert_refused(errors.CallPendingError, 'unknown', self.b)
      self.assert_refused(errors.CallPendingError, 'unknown', self.a)
      self.service.may_answer.set()
      self.assertEqual(first.result(WAIT_S), self.run_call(self.b))
    self.assertEqual({'k1': 1}, self.service.count_by_key)

  def test_an_unresponsive_owner_is_unknown_and_never_taken_over(self):
    self.service.may_answer.clear()
    with futures.ThreadPoolExecutor() as pool:
      first = pool.submit(self.run_call, self.a)
      self.service.started.wait(WAIT_S)
      self.node_by_address['a:2'].is_cut = True
      self.assert_refused(errors.OutcomeUnknownError, 'unknown', self.b)
      self.service.may_answer.set()
      first.result(WAIT_S)
    self.assertEqual(first.result(), self.run_call(self.b))
    self.assertEqual({'k1': 1}, self.service.count_by_key)

  def test_a_claim_of_a_restarted_owner_is_unknown(self):
    key = claims.scope_key('zagovina', 'desk', 'k1')
    fingerprint = claims.call_fingerprint(make_call())
    self.a.claims.claim(key, fingerprint, WAIT_S)
    self.make_runner('a')
    self.assert_refused(errors.OutcomeUnknownError, 'unknown', self.b)
    self.assertEqual({}, self.service.count_by_key)

  def test_a_large_answer_goes_to_its_caller_and_is_not_kept(self):
    large = records.PlainAnswer(200, 'a/b', b'x' * claims.MAX_ANSWER_BYTES * 2)
    self.service.call = lambda *_: large
    self.assertEqual(large, self.run_call(self.a))
    self.assert_refused(errors.AnswerNotKeptError, 'done', self.b)

  def test_no_time_left_is_not_run(self):
    call = make_call()._replace(deadline_at=time.monotonic() - 1)
    self.assert_refused(errors.DeadlineError, 'not_run', self.a, call)
    self.assertEqual({}, self.service.count_by_key)


class TestPlatformFaults(PlainCallsTestCase):

  def test_an_outage_refuses_calls_as_not_run_with_a_retry_time(self):
    self.platform.set_unavailable(True)
    error = self.assert_refused(errors.UnavailableError, 'not_run', self.a)
    self.assertGreater(error.retry_after_s, 0)
    self.assertEqual({}, self.service.count_by_key)

  def test_an_outage_costs_few_calls_of_the_platform(self):
    self.platform.set_unavailable(True)
    for number in range(200):
      call = make_call(key=f'k{number}')
      self.assert_refused(errors.UnavailableError, 'not_run', self.a, call)
    self.assertLess(self.platform.refused, 50)

  def test_lost_answers_of_writes_change_nothing(self):
    self.platform.lose_answers(2, claims.SLOT_PREFIX)
    first = self.run_call(self.a)
    self.assertEqual(first, self.run_call(self.b))
    self.assertEqual({'k1': 1}, self.service.count_by_key)

  def test_a_released_claim_that_may_be_written_is_taken_over(self):
    # The response to the write of the claim is lost, and the platform is
    # unavailable for the read after it. The call is not run, though the
    # platform holds the claim.
    self.platform.lose_answers(1, claims.SLOT_PREFIX)

    def go_away(kind, key):
      if kind == 'get' and self.platform.calls['put'] > puts:
        self.platform.set_unavailable(True)

    puts = self.platform.calls['put']
    self.platform.before_call = go_away
    self.assert_refused(errors.UnavailableError, 'not_run', self.a)
    self.platform.before_call = None
    self.platform.set_unavailable(False)
    self.assertEqual(200, self.run_call(self.b).status)
    self.assertEqual({'k1': 1}, self.service.count_by_key)

  def test_the_answer_is_recorded_after_an_outage(self):
    self.service.may_answer.clear()
    with futures.ThreadPoolExecutor() as pool:
      first = pool.submit(self.run_call, self.a)
      self.service.started.wait(WAIT_S)
      self.platform.set_unavailable(True)
      self.service.may_answer.set()
      answer = first.result(WAIT_S)
    self.platform.set_unavailable(False)
    self.assertEqual(answer, self.run_call(self.b))
    self.assertTrue(self.a.stop())
    self.assertEqual(0, self.count_open())
    self.assertEqual({'k1': 1}, self.service.count_by_key)


class TestForwardedClaims(PlainCallsTestCase):

  def setUp(self):
    super().setUp()
    self.timeout = mock.patch.object(
        slot_forwarder, 'FORWARD_TIMEOUT_S', WAIT_S
    )
    self.timeout.start()
    self.addCleanup(self.timeout.stop)
    addresses = tuple(f'{name}:2' for name in 'cd')
    self.c = self.make_runner('c', list_peers=lambda: addresses)
    self.d = self.make_runner('d', list_peers=lambda: addresses)

  def run_many(self):
    for number in range(32):
      call = make_call(f'k{number}')
      answer = self.run_call(self.c, call)
      self.assertEqual(answer, self.run_call(self.d, call))
    self.assertEqual({1}, set(self.service.count_by_key.values()))

  def test_each_slot_is_written_by_one_host(self):
    self.run_many()
    for slot in range(claims.SLOT_COUNT):
      writers = {
          runner.claims.writer.forwarder.find_writer(slot) or own
          for runner, own in ((self.c, 'c:2'), (self.d, 'd:2'))
      }
      self.assertEqual(1, len(writers))
    groups = [runner.claims.writer.groups for runner in (self.c, self.d)]
    self.assertEqual(64, sum(groups))

  def test_slots_of_an_unresponsive_writer_are_written_by_others(self):
    slot_forwarder.FORWARD_TIMEOUT_S = 0.01
    self.node_by_address['d:2'].is_cut = True
    for number in range(32):
      self.run_call(self.c, make_call(f'k{number}'))
    self.assertEqual({1}, set(self.service.count_by_key.values()))

  def test_the_next_host_replaces_an_unresponsive_writer(self):
    slot_forwarder.FORWARD_TIMEOUT_S = 0.01
    addresses = ('c:2', 'd:2', 'gone:2')
    runners = [self.make_runner(n, list_peers=lambda: addresses) for n in 'cd']
    for runner in runners:
      runner.claims.writer.forwarder.forward('gone:2', [])
    for slot in range(claims.SLOT_COUNT):
      writers = {
          runner.claims.writer.forwarder.find_writer(slot) or own
          for runner, own in zip(runners, addresses, strict=False)
      }
      self.assertEqual(1, len(writers))
      self.assertNotIn('gone:2', writers)

  def test_slots_of_a_stopped_writer_are_written_by_others(self):
    self.d.stop()
    for number in range(32):
      self.run_call(self.c, make_call(f'k{number}'))
    self.assertEqual({1}, set(self.service.count_by_key.values()))


class TestPlannedStop(PlainCallsTestCase):

  def test_stop_lets_sent_calls_finish_and_refuses_new_ones(self):
    self.service.may_answer.clear()
    with futures.ThreadPoolExecutor() as pool:
      first = pool.submit(self.run_call, self.a)
      self.service.started.wait(WAIT_S)
      stopped = pool.submit(self.a.stop)
      while not self.a._is_stopping:
        time.sleep(0.001)
      call = make_call('k2')
      self.assert_refused(errors.UnavailableError, 'not_run', self.a, call)
      self.service.may_answer.set()
      self.assertEqual(200, first.result(WAIT_S).status)
      self.assertTrue(stopped.result(WAIT_S))
    self.assertEqual(first.result(), self.run_call(self.b))

  def test_stop_releases_unsent_claims(self):
    key = claims.scope_key('zagovina', 'desk', 'k1')
    fingerprint = claims.call_fingerprint(make_call())
    granted = self.a.claims.claim(key, fingerprint, WAIT_S)
    self.assertIsInstance(granted, claim_task.ClaimGranted)
    self.assertTrue(self.a.stop())
    self.assertFalse(self.a.claims.begin_send(granted.nonce))
    self.assertEqual(200, self.run_call(self.b).status)


class TestRepeatableCalls(PlainCallsTestCase):

  def test_a_repeatable_call_is_retried_on_another_endpoint_without_a_claim(
      self,
  ):
    lost = errors.EndpointFailedError('desk-1', 'broken')
    self.service.error_by_endpoint['desk-1'] = lost
    answer = self.run_call(self.a, make_call(key=''), STOCK)
    self.assertEqual(200, answer.status)
    self.assertEqual(0, self.platform.calls['put'] - self.count_epochs())

  def test_a_repeatable_call_is_unknown_if_an_attempt_was_sent(self):
    lost = errors.EndpointFailedError('desk-1', 'broken')
    self.service.error_by_endpoint = {host.name: lost for host in HOSTS}
    self.assert_refused(
        errors.UnavailableError, 'unknown', self.a, target=STOCK
    )
    self.assertEqual(3, self.service.count_by_key['k1'])

  def count_epochs(self):
    listing = self.platform.list_objects(claims.EPOCH_KEY)
    return sum(v.version for v in listing.value_by_key.values())


if __name__ == '__main__':
  unittest.main()
