"""Tests of orders over successive terms of the lease."""

import unittest

from mulberrypick.core import orders_test


class TestTerms(unittest.TestCase):

  def test_an_intent_written_late_in_an_earlier_term_is_not_sent(self):
    machine = orders_test.AuthorityMachine()
    machine.time_passes(0.0, 0, 'answered', 0)
    machine.order_rounds('answered', 'answered')
    # The holder writes two intents in this round, which are both late.
    machine.order_rounds('late', 'pause')
    machine.time_passes(8.0, 0, 'answered', 2)
    machine.late_write(1)
    # The same controller takes the lease again.
    machine.time_passes(8.0, 0, 'answered', 0)
    machine.order_rounds('answered', 'answered')
    self.assertEqual([1, 2], [fence for _, fence in machine.taken])


if __name__ == '__main__':
  unittest.main()
