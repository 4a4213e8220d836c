"""Tests of the ports that test processes take on one machine."""

import subprocess
import sys
import unittest

from standins import gateway_cluster

COUNT = 300
# Prints the ports of a process that has a given process id, then waits.
_PROGRAM = """
import os, sys
os.getpid = lambda: int(sys.argv[1])
from standins import gateway_cluster
print(*gateway_cluster.free_ports(int(sys.argv[2])), flush=True)
sys.stdin.read()
"""


class FreePortsTest(unittest.TestCase):

  def start(self, process_id: int) -> subprocess.Popen:
    process = subprocess.Popen(
        [sys.executable, '-c', _PROGRAM, str(process_id), str(COUNT)],
        stdin=subprocess.PIPE,
        stdout=subprocess.PIPE,
        text=True,
    )
    self.addCleanup(process.wait)
    self.addCleanup(process.stdin.close)
    self.addCleanup(process.stdout.close)
    return process

  def test_processes_get_no_port_twice_before_they_use_them(self):
    # A gateway binds its ports some time after they were chosen, and again
    # after each restart. Their first ports meet: 1409 times 11000 is a multiple
    # of the 22000 ports.
    processes = [self.start(1), self.start(1), self.start(22001)]
    found = []
    for process in processes:
      found += process.stdout.readline().split()
    self.assertEqual(len(found), len(processes) * COUNT)
    self.assertEqual(len(set(found)), len(found))

  def test_ports_of_a_process_that_ended_are_given_out_again(self):
    for _ in range(2):
      process = self.start(7)
      ports = process.stdout.readline().split()
      self.assertEqual(len(ports), COUNT)
      process.stdin.close()
      process.wait()

  def test_ports_of_one_process_differ(self):
    ports = gateway_cluster.free_ports(COUNT) + gateway_cluster.free_ports(5)
    self.assertEqual(len(set(ports)), COUNT + 5)


if __name__ == '__main__':
  unittest.main()
