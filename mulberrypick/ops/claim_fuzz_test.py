"""Stateful fuzz test of claims against a simple oracle.

Two entry hosts share an in-memory platform. Each call has a plan of faults, one
for the n-th call of the platform or for a call of the service: an outage, a
lost answer, the death of the host, or another call on the other host in
between. The oracle only counts executions at the service.
"""

import collections
import logging
import os
import time
import unittest
from unittest import mock

from hypothesis import settings
from hypothesis import strategies as st
from hypothesis.stateful import RuleBasedStateMachine
from hypothesis.stateful import invariant
from hypothesis.stateful import rule

from mulberrypick.adapters import memory_platform
from mulberrypick.adapters import platform
from mulberrypick.adapters import service
from mulberrypick.core import errors
from mulberrypick.core import records
from mulberrypick.ops import claim_task
from mulberrypick.ops import plain_calls
from mulberrypick.ops import plain_calls_test
from mulberrypick.ops import slot_forwarder
from mulberrypick.ops import slot_writer

FUZZ_EXAMPLES = int(os.environ.get('MULBERRYPICK_FUZZ_EXAMPLES', '200'))
HOST_NAMES = ('a', 'b')
KEYS = ('k0', 'k0', 'k0', 'k1')
BODIES = (0, 0, 0, 1)
OUTAGE_CALLS = 3
DEAD_HOST_RETRY_AFTER_S = 3600.0

# Faults and other events at a call of the platform.
OUTAGE = 'outage'
LOST_ANSWER = 'lost'
DIES_BEFORE = 'dies before'
DIES_AFTER = 'dies after'
OTHER_CALL = 'other call'
PLATFORM_EVENTS = (OUTAGE, LOST_ANSWER, DIES_BEFORE, DIES_AFTER, OTHER_CALL)

# Faults and other events at the service.
RUNS = 'runs'
UNREACHABLE = 'unreachable'
DRAINING = 'draining'
LOST_RAN = 'ran, answer lost'
LOST_NOT_RUN = 'lost on the way'
DIES_IN_CALL = 'dies in the call'
OTHER_BEFORE_RUN = 'other call before it runs'
OTHER_AFTER_RUN = 'other call after it ran'
SERVICE_EVENTS = (
    RUNS,
    OTHER_BEFORE_RUN,
    OTHER_AFTER_RUN,
    UNREACHABLE,
    DRAINING,
    LOST_RAN,
    LOST_NOT_RUN,
    DIES_IN_CALL,
)

plans = st.fixed_dictionaries(
    {
        'platform': st.dictionaries(
            st.integers(0, 5), st.sampled_from(PLATFORM_EVENTS), max_size=2
        ),
        'service': st.lists(st.sampled_from(SERVICE_EVENTS), max_size=3),
    }
)


class FaultyPlatform(platform.Platform):
  """The platform as one entry host sees it, with injected faults."""

  def __init__(self, machine: 'ClaimMachine', name: str):
    self._machine = machine
    self.name = name
    self.is_dead = False
    self.calls = 0
    self.event_by_call = {}

  def get(self, key):
    return self._call(key, lambda: self._machine.platform.get(key))

  def put(self, key, value, expected_version):
    def write():
      return self._machine.platform.put(key, value, expected_version)

    return self._call(key, write)

  def _call(self, key, make):
    if not key.startswith('claims/'):
      raise errors.PlatformUnavailableError('only claims are fuzzed')
    self._check_alive()
    event = self.event_by_call.pop(self.calls, '')
    self.calls += 1
    if event == DIES_BEFORE:
      self.die()
      self._check_alive()
    if event == OUTAGE:
      self._machine.outage_calls = OUTAGE_CALLS
    if event == OTHER_CALL:
      self._machine.call_in_between(self.name)
    if self._machine.outage_calls:
      self._machine.outage_calls -= 1
      raise errors.PlatformUnavailableError('outage')
    result = make()
    if event == DIES_AFTER:
      self.die()
      self._check_alive()
    if event == LOST_ANSWER:
      raise errors.PlatformAnswerLostError('lost')
    return result

  def die(self):
    self.is_dead = True
    self._machine.node_by_address[f'{self.name}:2'].is_cut = True

  def _check_alive(self):
    if self.is_dead:
      raise errors.PlatformUnavailableError('dead', DEAD_HOST_RETRY_AFTER_S)

  def delete(self, key, expected_version):
    raise NotImplementedError

  def list_objects(self, prefix):
    raise NotImplementedError

  def watch(self, prefix, after_revision, timeout_s):
    raise NotImplementedError

  def list_hosts(self):
    raise NotImplementedError


class FaultyService(service.PlainService):
  """The service as one entry host sees it, with injected faults."""

  def __init__(self, machine: 'ClaimMachine', view: FaultyPlatform):
    self._machine = machine
    self._view = view
    self.events = []

  def call(self, endpoint, address, call, timeout_s):
    event = self.events.pop(0) if self.events else RUNS
    if self._view.is_dead or event == UNREACHABLE:
      raise errors.EndpointUnreachableError(endpoint, 'refused')
    if event == DRAINING:
      raise errors.EndpointDrainingError(endpoint, 'draining')
    if event == OTHER_BEFORE_RUN:
      self._machine.call_in_between(self._view.name)
    if event != LOST_NOT_RUN:
      self._machine.executions_by_key[call.idempotency_key] += 1
      self._machine.ran_requests.add(call.request_id)
    if event in (LOST_RAN, LOST_NOT_RUN):
      raise errors.EndpointFailedError(endpoint, 'broken')
    if event == OTHER_AFTER_RUN:
      self._machine.call_in_between(self._view.name)
    if event == DIES_IN_CALL:
      self._view.die()
    body = f'{call.idempotency_key} by {call.request_id}'.encode()
    return records.PlainAnswer(200, 'text/plain', body)


class ClaimMachine(RuleBasedStateMachine):
  """Runs calls, repeats and faults, and counts executions at the service."""

  def __init__(self):
    super().__init__()
    self._patches = [
        mock.patch.object(slot_writer, 'UNAVAILABLE_BACKOFF_S', 0.0),
        mock.patch.object(slot_writer, 'MAX_UNAVAILABLE_BACKOFF_S', 0.0),
        mock.patch.object(slot_writer, 'CONFLICT_BACKOFF_S', 0.0),
        mock.patch.object(claim_task, 'RECORD_TIMEOUT_S', 0.05),
        mock.patch.object(slot_forwarder, 'FORWARD_TIMEOUT_S', 0.05),
        mock.patch.object(slot_forwarder, 'UNRESPONSIVE_EXCLUSION_S', 0.1),
    ]
    for patch in self._patches:
      patch.start()
    logging.disable(logging.CRITICAL)
    self.platform = memory_platform.MemoryPlatform()
    self.node_by_address = {}
    self.outage_calls = 0
    self.executions_by_key = collections.Counter()
    self.ran_requests = set()
    self.not_run_requests = set()
    self.answers_by_key = collections.defaultdict(set)
    self.called_keys = set()
    self.next_call = (KEYS[0], 0)
    self.requests = 0
    self.runners = []
    self.view_by_name = {}
    self.service_by_name = {}
    self.runner_by_name = {}
    for name in HOST_NAMES:
      self._start(name)

  def teardown(self):
    for runner in self.runners:
      runner.claims.stop(0.0)
    for patch in self._patches:
      patch.stop()
    logging.disable(logging.NOTSET)

  def _start(self, name):
    view = FaultyPlatform(self, name)
    faulty_service = FaultyService(self, view)
    runner = plain_calls.PlainCallRunner(
        view,
        faulty_service,
        plain_calls_test.FakePeers(f'{name}:2', self.node_by_address),
        name,
        f'{name}:2',
        writers=1,
        pending_timeout_s=0.0,
        list_peers=self._list_peers,
    )
    runner.start()
    self.runners.append(runner)
    self.view_by_name[name] = view
    self.service_by_name[name] = faulty_service
    self.runner_by_name[name] = runner

  def _list_peers(self):
    return tuple(self.node_by_address)

  def _run(self, name, key, body):
    self.called_keys.add(key)
    self.requests += 1
    request_id = f'r{self.requests}'
    call = plain_calls_test.make_call(key, b'%d' % body)
    call = call._replace(request_id=request_id)
    view = self.view_by_name[name]
    try:
      answer = self.runner_by_name[name].run(
          call,
          plain_calls_test.BOOKING,
          plain_calls_test.HOSTS,
          time.monotonic,
      )
    except errors.RequestError as error:
      # The caller of a dead host receives nothing.
      if error.run == errors.RUN_NOT_RUN and not view.is_dead:
        self.not_run_requests.add(request_id)
      return error
    if not view.is_dead:
      self.answers_by_key[key, body].add(answer.body)
    return answer

  def call_in_between(self, name):
    """Runs the planned call on the other host, during a call on this host."""
    other = HOST_NAMES[1 - HOST_NAMES.index(name)]
    self.view_by_name[other].event_by_call = {}
    self.service_by_name[other].events = []
    self._run(other, *self.next_call)

  @rule(
      name=st.sampled_from(HOST_NAMES),
      key=st.sampled_from(KEYS),
      body=st.sampled_from(BODIES),
      plan=plans,
      other=st.tuples(st.sampled_from(KEYS), st.sampled_from(BODIES)),
  )
  def call(self, name, key, body, plan, other):
    view = self.view_by_name[name]
    view.calls = 0
    view.event_by_call = dict(plan['platform'])
    self.service_by_name[name].events = list(plan['service'])
    self.next_call = other
    self._run(name, key, body)
    view.event_by_call = {}
    self.service_by_name[name].events = []

  @rule(name=st.sampled_from(HOST_NAMES))
  def restart(self, name):
    self.view_by_name[name].die()
    self._start(name)

  @rule(name=st.sampled_from(HOST_NAMES), key=st.sampled_from(KEYS))
  def repeat_without_faults(self, name, key):
    """Checks that the first call of a key is answered without faults."""
    self.outage_calls = 0
    if self.view_by_name[name].is_dead:
      self._start(name)
    is_fresh = key not in self.called_keys
    result = self._run(name, key, 0)
    if is_fresh:
      assert isinstance(result, records.PlainAnswer), result

  @invariant()
  def runs_at_most_once(self):
    assert not self.executions_by_key or (
        max(self.executions_by_key.values()) == 1
    ), self.executions_by_key

  @invariant()
  def not_run_calls_never_ran(self):
    assert not self.not_run_requests & self.ran_requests

  @invariant()
  def a_key_has_one_answer(self):
    for answers in self.answers_by_key.values():
      assert len(answers) == 1, answers


ClaimMachine.TestCase.settings = settings(
    max_examples=FUZZ_EXAMPLES,
    stateful_step_count=12,
    derandomize='MULBERRYPICK_FUZZ_EXAMPLES' not in os.environ,
    deadline=None,
    database=None,
)
TestClaimFuzz = ClaimMachine.TestCase

if __name__ == '__main__':
  unittest.main()
