"""Tests of late requests, silent connections and endless bytes in the soak."""

import pathlib
import tempfile
import unittest

from standins import late_caller
from standins import retry_check
from standins import soak
from standins import soak_checks
from standins import soak_cluster
from standins import soak_late
from standins import soak_plan
from standins import soak_quiet

LATE = soak_plan.Fault(0.3, soak_plan.LATE_KIND, 'host-1', 0.5, 'pipelined')
QUIET = soak_plan.Fault(0.5, soak_plan.QUIET_KIND, 'desk-1', 0.2, 'removed')
ENDLESS = soak_plan.Fault(
    0.8, soak_plan.ENDLESS_KIND, 'endless', 2.0, 'header_lines'
)


class ParseTest(unittest.TestCase):

  def test_response_that_breaks_off_does_not_count(self):
    whole = b'HTTP/1.1 503 x\r\nContent-Length: 2\r\n\r\nab'
    self.assertEqual(late_caller.parse_responses(whole * 2), [503, 503])
    self.assertEqual(late_caller.parse_responses(whole + whole[:-1]), [503])
    self.assertEqual(late_caller.parse_responses(whole[:20]), [])


class ViolationsTest(unittest.TestCase):

  def setUp(self):
    folder = self.enterContext(tempfile.TemporaryDirectory())
    self.cluster = soak_cluster.SoakCluster(
        pathlib.Path(folder), soak.GATEWAY, soak_plan.USUAL_RETRIES
    )

  def find_late(self, status: int, runs: int) -> list[str]:
    callers = soak_late.LateCallers(self.cluster)
    callers.requests.append(soak_late.LateRequest('late-1', 7.0, status))
    self.cluster.runs = lambda: {'late-1': runs}
    return [line.partition(':')[0] for line in callers.find_violations()]

  def test_late_requests(self):
    self.assertEqual(self.find_late(200, 1), [])
    self.assertEqual(self.find_late(503, 0), [])
    self.assertEqual(self.find_late(0, 0), [])
    self.assertEqual(self.find_late(0, 1), ['LOST'])
    self.assertEqual(self.find_late(503, 1), ['UNTRUE'])
    self.assertEqual(self.find_late(200, 2), ['TWICE'])

  def find_quiet(self, at: float, outages=()) -> list[str]:
    kind = retry_check.CallKind
    call = retry_check.Arrival(
        self.cluster.started_at + at, 'r1', 'desk', next(iter(kind))
    )
    replica = type('Replica', (), {'name': 'desk-1', 'calls': [call]})
    quiet = soak_quiet.QuietStore(self.cluster)
    quiet._departures.append(soak_quiet._Departure(replica, 5.0))
    observation = soak_checks.Observation(
        'r1', 'unsafe', 'host-1', at, at + 0.1, 200, b'', True, False
    )
    return quiet.find_violations([observation], list(outages))

  def test_endpoint_that_left_beside_silent_connections(self):
    self.assertEqual(self.find_quiet(4.9), [])
    self.assertEqual(len(self.find_quiet(5.1)), 1)
    outage = soak_checks.Outage('host-1', 3.0, 4.0)
    self.assertEqual(self.find_quiet(5.1, [outage]), [])


class ShortRunTest(unittest.TestCase):

  def test_late_requests_beside_silence_and_endless_bytes(self):
    faults = [LATE, QUIET, ENDLESS]
    violations, _ = soak.run_faults(faults, 'late-quiet-endless')
    self.assertEqual(violations, [])


if __name__ == '__main__':
  unittest.main()
