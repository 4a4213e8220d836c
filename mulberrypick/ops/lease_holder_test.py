"""Tests of the lease task with an in-memory platform."""

import queue
import unittest

from mulberrypick.adapters import memory_platform
from mulberrypick.core import lease as leases
from mulberrypick.ops import lease_holder

WAIT_S = 60.0
TIMING = leases.Timing(duration_s=2.0, guard_s=0.5)


class TestLeaseHolder(unittest.TestCase):

  def setUp(self):
    self.platform = memory_platform.MemoryPlatform()
    self.messages = queue.SimpleQueue()

  def start(self, name: str = 'c1') -> lease_holder.LeaseHolder:
    holder = lease_holder.LeaseHolder(
        self.platform, 'z1', name, TIMING, self.messages.put
    )
    self.addCleanup(holder.stop, False)
    holder.start()
    return holder

  def next_message(self, kind: type) -> lease_holder.TermMessage:
    """Returns the next message of a type."""
    while True:
      message = self.messages.get(timeout=WAIT_S)
      if isinstance(message, kind):
        return message

  def read_record(self) -> leases.LeaseRecord:
    value = self.platform.get(leases.lease_key('z1')).value
    return leases.decode_record(value)

  def test_the_lease_is_acquired_and_renewed(self):
    self.start()
    first = self.next_message(lease_holder.Term)
    second = self.next_message(lease_holder.Term)
    self.assertEqual(1, first.fence)
    self.assertEqual(1, second.fence)
    self.assertGreater(second.end_at, first.end_at)

  def test_an_acquisition_with_a_lost_reply_is_confirmed_without_a_wait(self):
    self.platform.lose_answers(1, 'leases/')
    self.start()
    self.assertEqual(1, self.next_message(lease_holder.Term).fence)

  def test_an_outage_ends_the_term_and_recovery_starts_a_new_one(self):
    self.start()
    self.next_message(lease_holder.Term)
    self.platform.set_unavailable(True)
    self.next_message(lease_holder.TermEnded)
    self.platform.set_unavailable(False)
    self.assertEqual(2, self.next_message(lease_holder.Term).fence)

  def test_a_stale_fence_ends_the_term_at_once(self):
    holder = self.start()
    term = self.next_message(lease_holder.Term)
    holder.post(lease_holder.StaleFence(term.fence))
    self.next_message(lease_holder.TermEnded)

  def test_a_release_is_written_at_a_planned_stop(self):
    holder = self.start()
    self.next_message(lease_holder.Term)
    holder.stop(releases=True)
    self.assertEqual('', self.read_record().owner)

  def test_a_stop_without_release_leaves_the_lease_to_expire(self):
    holder = self.start()
    self.next_message(lease_holder.Term)
    holder.stop(releases=False)
    self.assertNotEqual('', self.read_record().owner)


if __name__ == '__main__':
  unittest.main()
