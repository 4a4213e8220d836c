"""Tests of telling outages of the store from silent connections."""

import unittest

from mulberrypick.core import store_contact

HEARTBEAT_S = 1.2


class StoreContactTest(unittest.TestCase):

  def setUp(self):
    self.outages: list[float] = []
    self.contact = store_contact.StoreContact(HEARTBEAT_S)
    self.contact.set_callback(self.outages.append)

  def test_first_answer_ends_no_outage(self):
    self.contact.record_doubt()
    self.contact.record_answer(10.0)
    self.assertEqual(self.outages, [])

  def test_silence_in_which_no_entry_can_expire_is_no_outage(self):
    self.contact.record_answer(10.0)
    self.contact.record_doubt()
    self.assertFalse(self.contact.is_lost(12.3))
    self.contact.record_answer(12.3)
    self.assertEqual(self.outages, [])

  def test_longer_time_without_answers_is_an_outage(self):
    self.contact.record_answer(10.0)
    self.contact.record_doubt()
    self.assertTrue(self.contact.is_lost(12.5))
    self.contact.record_answer(16.0)
    self.assertEqual(self.outages, [6.0])

  def test_outage_ends_once(self):
    # Guards against failures after an outage that make the time longer for
    # which missing entries are kept.
    self.contact.record_answer(10.0)
    self.contact.record_doubt()
    self.contact.record_answer(16.0)
    self.contact.record_doubt()
    self.contact.record_answer(17.0)
    self.assertEqual(self.outages, [6.0])

  def test_host_that_asked_nothing_noticed_no_outage(self):
    # Hosts that follow a relay call the store seldom.
    self.contact.record_answer(10.0)
    self.contact.record_answer(25.0)
    self.assertEqual(self.outages, [])


if __name__ == '__main__':
  unittest.main()
