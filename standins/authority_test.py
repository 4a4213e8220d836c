"""Tests of controller processes: killed, paused, racing, without a platform.

In all cases, no engine receives an order of an older term after one of a newer
term (its `conflicts` counter stays 0), and the zone ends up with one lease
holder that brings the engines to the declared state.
"""

import pathlib
import shutil
import tempfile
import time
import unittest
from collections.abc import Callable

import msgspec

from mulberrypick.core import drains
from mulberrypick.core import orders
from mulberrypick.core import records
from standins import local_cluster

ZONE = 1
LEASE_FLAGS = ('--guard-s', '0.5', '--round-s', '0.05')
ENGINE_FLAGS = ('--load-model-s', '0.1', '--role-change-s', '0.1')
PLATFORM_FLAGS = ('--hosts-lag-s', '0.1')
TIMEOUT_S = 60.0
POLL_INTERVAL_S = 0.05


def declare(version: str, replicas: int) -> bytes:
  """Returns a declaration of one model and no service."""
  model = {
      'name': 'm',
      'version': version,
      'adapters': [],
      'replicas': replicas,
  }
  return msgspec.json.encode({'format': 1, 'models': [model]})


class TestAuthority(unittest.TestCase):

  def setUp(self):
    folder = pathlib.Path(tempfile.mkdtemp())
    self.addCleanup(shutil.rmtree, folder)
    self.cluster = local_cluster.LocalCluster(folder, PLATFORM_FLAGS)
    self.fleet = self.cluster.fleet
    self.addCleanup(self.fleet.stop)
    # One engine checks fencing tokens, the other does not.
    for name, checks_fence in (('e1', True), ('e2', False)):
      self.fleet.start_engine(
          name, ZONE, *ENGINE_FLAGS, checks_fence=checks_fence
      )

  def start_controllers(self, *names: str, lease_s: str = '2') -> None:
    for name in names:
      self.cluster.start_controller(
          name, ZONE, '--lease-s', lease_s, *LEASE_FLAGS
      )

  def wait_for(self, what: str, condition: Callable[[], bool]) -> None:
    deadline = time.monotonic() + TIMEOUT_S
    while not condition():
      if time.monotonic() > deadline:
        logs = [p.log()[-1500:] for p in self.fleet.program_by_name.values()]
        self.fail(f'condition not reached: {what}\n' + '\n'.join(logs))
      time.sleep(POLL_INTERVAL_S)

  def status(self, controller: str) -> dict:
    program = self.fleet.program_by_name[controller]
    return self.fleet.call(program, 'GET', '/status')

  def is_holder(self, controller: str) -> bool:
    return self.status(controller)['is_holder']

  def engine(self, name: str, path: str) -> dict:
    return self.fleet.call(self.fleet.program_by_name[name], 'GET', path)

  def holds(self, name: str, *models: str) -> bool:
    state = self.engine(name, '/state')
    is_idle = not state['is_changing'] and not state['is_draining']
    return is_idle and sorted(state['models']) == sorted(models)

  def all_hold(self, *models: str) -> bool:
    return self.holds('e1', *models) and self.holds('e2', *models)

  def count_orders(self) -> int:
    calls = [self.engine(name, '/calls') for name in ('e1', 'e2')]
    return sum(call['orders'] for call in calls)

  def post_order(self, engine: str, order: records.Order) -> None:
    program = self.fleet.program_by_name[engine]
    self.fleet.call(program, 'POST', '/orders', order._asdict())

  def last_fence(self, engine: str) -> int:
    value = self.cluster.platform.get(orders.order_key(engine)).value
    return orders.decode_intent(value).order.fence

  def assert_no_conflicts(self) -> None:
    for name in ('e1', 'e2'):
      self.assertEqual(0, self.engine(name, '/calls')['conflicts'], name)

  def begin_change_of_version(self) -> tuple[str, str]:
    """Starts two controllers and a version change; returns holder, standby."""
    self.cluster.apply(declare('1', 2))
    self.start_controllers('c1', 'c2')
    self.wait_for('model loaded', lambda: self.all_hold('m@1'))
    holder, other = 'c1', 'c2'
    if not self.is_holder(holder):
      holder, other = other, holder
    self.cluster.apply(declare('2', 2), planned_on=1)
    return holder, other

  def test_a_standby_replaces_a_killed_holder(self):
    holder, other = self.begin_change_of_version()
    # The holder is killed while a change of version is incomplete.
    self.wait_for('change started', lambda: not self.all_hold('m@1'))
    self.fleet.kill(holder)
    self.wait_for('standby is lease holder', lambda: self.is_holder(other))
    self.wait_for('new version loaded', lambda: self.all_hold('m@2'))
    self.assertGreater(self.status(other)['fence'], 1)
    self.assert_no_conflicts()

  def test_a_paused_holder_sends_no_order_after_it_continues(self):
    holder, other = self.begin_change_of_version()
    self.wait_for('change started', lambda: not self.all_hold('m@1'))
    self.fleet.pause(holder)
    self.wait_for('standby is lease holder', lambda: self.is_holder(other))
    self.wait_for('new version loaded', lambda: self.all_hold('m@2'))
    # The test also pauses the new holder, and unloads the model from the engine
    # that does not check fencing tokens. The old holder needs a new term before
    # it may send that engine an order.
    self.assertGreater(self.last_fence('e2'), 1)
    self.fleet.pause(other)
    order = records.Order('e2', 99, 0, 'unload', 'm', '2', '', '')
    before = self.engine('e2', '/calls')['conflicts']
    self.post_order('e2', order)
    self.fleet.resume(holder)
    program = self.fleet.program_by_name[holder]
    self.wait_for(
        'model reloaded or process exited',
        lambda: self.holds('e2', 'm@2') or program.process.poll() is not None,
    )
    # The only conflict is the order that this test sent.
    self.assertEqual(before + 1, self.engine('e2', '/calls')['conflicts'])
    self.assertEqual(0, self.engine('e1', '/calls')['conflicts'])

  def test_a_graceful_stop_hands_over_the_lease(self):
    self.start_controllers('c1', 'c2')
    self.wait_for(
        'lease acquired', lambda: self.is_holder('c1') or self.is_holder('c2')
    )
    holder, other = 'c1', 'c2'
    if not self.is_holder(holder):
      holder, other = other, holder
    self.assertEqual(0, self.fleet.terminate(holder))
    lease = msgspec.json.decode(
        self.cluster.platform.get('leases/zone-1').value
    )
    self.assertFalse(lease['owner'].startswith(holder))
    self.wait_for('standby is lease holder', lambda: self.is_holder(other))

  def test_without_the_platform_there_are_no_orders(self):
    self.cluster.apply(declare('1', 2))
    self.start_controllers('c1')
    self.wait_for('model loaded', lambda: self.all_hold('m@1'))
    self.fleet.put_fault(self.fleet.platform, outage_s=4)
    # The test unloads the model from the engine that does not check fencing
    # tokens, so that the controller has an order to send.
    order = records.Order('e2', 99, 0, 'unload', 'm', '1', '', '')
    self.post_order('e2', order)
    self.wait_for('model unloaded', lambda: self.holds('e2'))
    taken = self.count_orders()
    self.wait_for('term ended', lambda: not self.is_holder('c1'))
    self.assertEqual(taken, self.count_orders())
    self.wait_for('model reloaded', lambda: self.all_hold('m@1'))

  def test_lost_answers_of_lease_and_intents_are_settled(self):
    self.fleet.put_fault(
        self.fleet.platform, lose_answers=1, lose_prefix='leases/'
    )
    # The long lease leaves time to find out on a busy machine whether the write
    # with the lost answer took effect.
    self.start_controllers('c1', lease_s='30')
    self.wait_for('lease acquired', lambda: self.is_holder('c1'))
    self.fleet.put_fault(
        self.fleet.platform, lose_answers=3, lose_prefix='orders/'
    )
    self.cluster.apply(declare('1', 2))
    self.wait_for('model loaded', lambda: self.all_hold('m@1'))
    self.assertEqual(1, self.status('c1')['fence'])
    self.assert_no_conflicts()

  def test_at_most_one_of_racing_controllers_holds_the_lease(self):
    names = ('c1', 'c2', 'c3', 'c4')
    self.cluster.apply(declare('1', 2))
    for name in names:
      self.start_controllers(name)
    self.wait_for('model loaded', lambda: self.all_hold('m@1'))
    for version in ('2', '3'):
      self.cluster.apply(declare(version, 2), planned_on=int(version) - 1)
      self.wait_for(
          'new version loaded', lambda v=version: self.all_hold(f'm@{v}')
      )
    holders = [name for name in names if self.is_holder(name)]
    self.assertLessEqual(len(holders), 1)
    self.assert_no_conflicts()

  def test_an_operator_request_drains_an_engine_until_it_is_deleted(self):
    self.cluster.apply(declare('1', 2))
    self.start_controllers('c1')
    self.wait_for('model loaded', lambda: self.all_hold('m@1'))
    request = drains.encode_request(drains.DrainRequest('ana', 'new disk'))
    key = drains.drain_key('e1')
    version = self.cluster.platform.put(key, request, 0)
    self.wait_for('drained', lambda: self.engine('e1', '/state')['is_draining'])
    self.assertEqual(['e1'], self.status('c1')['drains'])
    self.cluster.platform.delete(key, version)
    self.wait_for('back in service', lambda: self.holds('e1', 'm@1'))

  def test_an_engine_that_restarts_during_a_change_reaches_its_declared_state(
      self,
  ):
    self.cluster.apply(declare('1', 2))
    self.start_controllers('c1')
    self.wait_for('model loaded', lambda: self.all_hold('m@1'))
    program = self.fleet.program_by_name['e1']
    self.fleet.put_fault(program, crash_in_order=True)
    self.cluster.apply(declare('2', 2), planned_on=1)
    self.fleet.wait('e1')
    self.fleet.start_engine(
        'e1', ZONE, *ENGINE_FLAGS, '--models', 'm@1', checks_fence=True
    )
    self.wait_for('new version loaded', lambda: self.all_hold('m@2'))
    self.assert_no_conflicts()


if __name__ == '__main__':
  unittest.main()
