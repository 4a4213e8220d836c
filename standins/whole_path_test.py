"""End-to-end tests, from a caller through an entry to engines that fail.

Every answer is checked token by token. The result does not depend on speed.
"""

import pathlib
import tempfile
import unittest

from standins import demo
from standins import load
from standins import load_client
from standins import load_plan
from standins import local_cluster

ZONE = 1
ENGINES = ('engine-1', 'engine-2')
REQUESTS = 8
STALL_S = 2
LONG_STALL_S = 30
ASK = load_plan.WorkClass(
    'questions',
    'dispatch-assistant',
    'yard-talk',
    tenant='drivers',
    rank='urgent',
    deadline_s=60.0,
    output_tokens=(40, 60),
)


class TestWholePath(unittest.TestCase):

  def setUp(self):
    folder = pathlib.Path(self.enterContext(tempfile.TemporaryDirectory()))
    self.cluster = self.enterContext(
        local_cluster.LocalCluster(folder, ('--hosts-lag-s', '0.2'))
    )
    self.engines = [self.start_engine(name) for name in ENGINES]
    demo.apply_declaration(self.cluster, folder / 'declared.json')

  def start_entry(self, stall_s):
    self.cluster.spawn_entry('entry-1', ZONE, '--stall-s', str(stall_s))
    self.cluster.wait_entries()

  def start_engine(self, name):
    return self.cluster.fleet.start_engine(
        name, ZONE, '--models', 'yard-talk@1', '--decode-step-s', '0.02'
    )

  def put_fault(self, number, **faults):
    self.cluster.fleet.put_fault(self.engines[number], **faults)

  def run_load(self):
    phases = [load_plan.Phase(1.0, {ASK.name: 2.0 * REQUESTS})]
    arrivals = load_plan.plan_arrivals([ASK], phases, 3)[:REQUESTS]
    client = load_client.LoadClient(self.cluster.list_urls())
    return load.run_load(client, arrivals)

  def assert_whole(self, results):
    self.assertEqual(len(results), REQUESTS)
    for result in results:
      self.assertEqual(result.outcome, 'whole', result)

  def test_garbled_streams_make_whole_answers(self):
    self.start_entry(LONG_STALL_S)
    for number in range(len(ENGINES)):
      self.put_fault(number, garble_streams=REQUESTS)
    self.assert_whole(self.run_load())
    attempts = 0
    for program in self.engines:
      attempts += self.cluster.fleet.call(program, 'GET', '/calls')['generate']
    # Each request took one attempt; none was abandoned and resumed.
    self.assertEqual(attempts, REQUESTS)

  def test_a_crash_in_mid_stream_cuts_nothing(self):
    self.start_entry(LONG_STALL_S)
    self.put_fault(0, crash_after_tokens=60)
    self.assert_whole(self.run_load())
    self.assertNotEqual(self.cluster.fleet.wait(ENGINES[0]), 0)

  def test_a_freeze_in_mid_stream_cuts_nothing(self):
    self.start_entry(STALL_S)
    self.put_fault(0, freeze_s=3 * STALL_S)
    self.assert_whole(self.run_load())


if __name__ == '__main__':
  unittest.main()
