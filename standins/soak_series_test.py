"""Tests of the soak's series of faults: their checks, and short runs."""

import collections
import pathlib
import tempfile
import unittest

from standins import gateway_cluster
from standins import retry_check
from standins import soak
from standins import soak_checks
from standins import soak_cluster
from standins import soak_parts
from standins import soak_patient
from standins import soak_plan
from standins import soak_retries
from standins import soak_streams

SILENCE = soak_plan.Fault(
    0.4, soak_plan.SILENCE_KIND, 'engines', 5.2, 'no_budget'
)
PART = soak_plan.Fault(
    0.3, soak_plan.PART_KIND, 'read', soak_plan.PART_DURATION_S, 'run'
)
FAILING = soak_plan.Fault(0.3, soak_plan.FAILING_KIND, 'endpoints', 5.3, 'cut')
UNFRAMED = soak_plan.Fault(
    0.4, soak_plan.UNFRAMED_KIND, 'writer-1', 5.0, 'open_cut'
)


class CheckTestCase(unittest.TestCase):
  """Makes a cluster that is not started."""

  def setUp(self):
    folder = self.enterContext(tempfile.TemporaryDirectory())
    self.cluster = soak_cluster.SoakCluster(
        pathlib.Path(folder), soak.GATEWAY, soak_plan.USUAL_RETRIES
    )


class PatientCallerTest(CheckTestCase):

  def find(
      self, outages=(), endpoint_outages=(), ran_at=('writer-1',), **changes
  ):
    """Returns the violations of one call that ends after two events."""
    self.cluster.ran_at = lambda request: set(ran_at)
    caller = soak_patient.PatientCaller(self.cluster)
    body = b'id: 1\ndata: piece 1\n\n'
    call = soak_patient.PatientCall(
        'patient-1',
        'ask',
        'host-1',
        1.0,
        2.0,
        gateway_cluster.Answer(200, {}, body, False),
    )
    caller.calls.append(call._replace(**changes))
    return caller.find_violations(list(outages), list(endpoint_outages))

  def test_cut_stream_is_a_violation(self):
    self.assertEqual(len(self.find()), 1)

  def test_request_without_answer_is_a_violation(self):
    silent = gateway_cluster.Answer(0, {}, b'', False)
    self.assertEqual(len(self.find(answer=silent)), 1)
    self.assertEqual(len(self.find(answer=silent, ran_at=())), 1)
    # It may have crossed the close of an idle connection.
    self.assertEqual(self.find(answer=silent, ran_at=(), ended_at=1.1), [])
    self.assertEqual(len(self.find(answer=silent, ended_at=1.1)), 1)

  def test_whole_stream_and_failure_are_no_violations(self):
    whole = gateway_cluster.Answer(200, {}, b'', True)
    failed = gateway_cluster.Answer(502, {}, b'', True)
    self.assertEqual(self.find(answer=whole), [])
    self.assertEqual(self.find(answer=failed), [])

  def test_stream_that_does_not_end_in_time_is_a_violation(self):
    ended_at = 1.0 + soak_patient.DEADLINE_S
    self.assertEqual(len(self.find(ended_at=ended_at)), 1)

  def test_outages_of_its_gateway_and_its_endpoint_excuse_a_stream(self):
    def outage(name, began_at=1.5):
      return soak_checks.Outage(name, began_at, began_at + 1.0)

    self.assertEqual(self.find(outages=[outage('host-1')]), [])
    self.assertEqual(len(self.find(outages=[outage('host-2')])), 1)
    self.assertEqual(len(self.find(outages=[outage('host-1', 2.1)])), 1)
    self.assertEqual(self.find(endpoint_outages=[outage('writer-1')]), [])
    self.assertEqual(len(self.find(endpoint_outages=[outage('writer-2')])), 1)

  def test_end_of_the_endpoint_that_a_stream_moves_to_excuses_it(self):
    def outage(began_at):
      return soak_checks.Outage('writer-2', began_at, began_at + 1.0)

    self.assertEqual(
        self.find(ended_at=2.0, endpoint_outages=[outage(1.98)]), []
    )
    for began_at in (1.9, 2.01):
      found = self.find(ended_at=2.0, endpoint_outages=[outage(began_at)])
      self.assertEqual(len(found), 1)


class PartCallerTest(CheckTestCase):

  def find(self, served: int, crashing=(), disturbances=()):
    """Returns the violations with so many of 20 sound requests served late."""
    caller = soak_parts.PartCaller(self.cluster)
    caller._body = b'crash=run'
    self.cluster.crashes = [(2.0 + n / 10, b'crash=run') for n in range(6)]
    arrivals = [(at, f'killer-{at}') for at in crashing]
    self.cluster.crashing_arrivals = lambda: arrivals
    for number in range(soak_parts.MIN_SOUND):
      caller.sound.append(self.observe('sound', 1.0, 200))
      status = 200 if number < served else 503
      caller.sound.append(self.observe('sound', 9.0, status))
    for at, request in arrivals:
      caller.crashing.append(self.observe(request, at, 502))
    violations = caller.find_violations(list(disturbances))
    return [line.partition(':')[0] for line in violations]

  def observe(self, request, at, status) -> soak_checks.Observation:
    return soak_checks.Observation(
        request, 'read', 'host-1', at, at + 0.1, status, b'data', True, False
    )

  def test_half_of_the_sound_requests_must_begin(self):
    self.assertEqual(self.find(soak_parts.MIN_SOUND), [])
    self.assertEqual(self.find(soak_parts.MIN_SOUND // 2), [])
    self.assertEqual(self.find(soak_parts.MIN_SOUND // 2 - 1), ['LOST'])

  def test_few_late_requests_may_reach_endpoints(self):
    # The fifth crash is at 2.4 s, so that requests from 5.4 s on are late.
    late = [5.5, 5.6, 5.7]
    self.assertEqual(self.find(20, [5.3, *late]), [])
    self.assertEqual(self.find(20, [*late, 5.8]), ['BUDGET'])
    outage = soak_checks.Outage('host-1', 5.0, 6.0)
    self.assertEqual(self.find(20, [*late, 5.8], [outage]), [])


class FindExcessTest(unittest.TestCase):

  def find(self, calls, observed=(), repeated_at=None, slack=2.0):
    observations = []
    for request in observed:
      observations.append(
          soak_checks.Observation(
              request, 'safe', 'host-1', 1.0, 1.1, 200, b'', True, False
          )
      )
    arrivals = []
    for at, request in calls:
      arrivals.append(
          retry_check.Arrival(at, request, 'desk', retry_check.CallKind.CALL)
      )
    return soak_retries.find_violations(
        arrivals,
        observations,
        repeated_at or {},
        retry_check.Bound(0.5, slack, 10.0),
    )

  def test_repeated_arrivals_over_the_bound_are_a_violation(self):
    # Three extra arrivals; two and one half of a request are allowed.
    calls = [(1.0 + n / 10, 'r1') for n in range(4)]
    self.assertEqual(len(self.find(calls, ['r1'])), 1)
    self.assertEqual(self.find(calls[:3], ['r1']), [])
    self.assertEqual(self.find(calls, ['r1', 'r2']), [])

  def test_requests_that_were_not_observed_count_by_their_arrival(self):
    calls = [(1.0 + n / 10, 'r1') for n in range(4)]
    self.assertEqual(len(self.find(calls)), 1)
    self.assertEqual(self.find([(1.0, 'r2'), *calls]), [])

  def test_repeats_of_the_caller_are_requests(self):
    calls = [(1.0, 'r1'), (1.1, 'r1'), (2.0, 'r1'), (2.1, 'r1')]
    self.assertEqual(len(self.find(calls, ['r1'])), 1)
    self.assertEqual(self.find(calls, ['r1'], {'r1': 1.9}), [])


class StreamCallerTest(CheckTestCase):

  def find(self, gone_on: int, begun: int, outages=()) -> list[str]:
    """Returns the violations of 12 streams taken up, of 20 new ones."""
    caller = soak_streams.StreamCaller(self.cluster)
    for number in range(soak_streams.MIN_STREAMS):
      caller.taken_up.append(
          soak_streams.TakenUp(
              'stream-1',
              ('host-1', 'host-2'),
              1.0,
              2.0,
              frozenset(['v1']),
              number < gone_on,
          )
      )
    caller.begun = [number < begun for number in range(20)]
    return caller.find_violations(list(outages))

  def test_streams_while_gateways_are_cut_off_from_each_other(self):
    # A host that can't ask for the version of a stream must refuse it.
    cut = soak_checks.Outage('', 0.5, 1.5)
    self.assertEqual(self.find(0, 20, [cut]), [])
    earlier = cut._replace(ended_at=0.9 - soak_checks.STABLE_S)
    self.assertEqual(len(self.find(0, 20, [earlier])), 1)

  def test_streams_must_go_on_half_as_often_as_new_ones_begin(self):
    self.assertEqual(self.find(6, 20), [])
    self.assertEqual(len(self.find(5, 20)), 1)
    self.assertEqual(self.find(3, 10), [])
    self.assertEqual(len(self.find(2, 10)), 1)


class SoakTest(unittest.TestCase):

  def check_found(self, fault, module: str, *words: str) -> None:
    """Checks which violations of a gateway are found."""
    violations, summary = soak.run_faults([fault], fault.kind, module)
    counts = collections.Counter(line.partition(':')[0] for line in violations)
    self.assertEqual(set(counts), set(words), summary)

  def test_gateway_that_ends_before_it_is_killed_is_reported(self):
    kill = soak_plan.Fault(2.0, 'kill', 'host-2', 0.5)
    violations, summary = soak.run_faults(
        [kill], 'ended', 'standins.soak_ending_gateway'
    )
    self.assertIn('ENDED: host-2 exited with status 7', violations, summary)

  def check_held(self, *faults: soak_plan.Fault) -> None:
    violations, summary = soak.run_faults(list(faults), faults[0].kind)
    self.assertEqual(violations, [], summary)

  def test_gateway_that_does_not_wait_is_detected(self):
    self.check_found(SILENCE, 'standins.soak_impatient_gateway', 'LOST')

  def test_gateway_that_completes_torn_streams_is_detected(self):
    self.check_found(UNFRAMED, 'standins.soak_credulous_gateway', 'WRONG')

  def test_silence_and_unframed_answers_are_borne(self):
    self.check_held(SILENCE, UNFRAMED)

  def test_gateway_that_refuses_no_part_is_detected(self):
    self.check_found(PART, 'standins.soak_partless_gateway', 'BUDGET', 'LOST')

  def test_few_requests_with_a_crashing_part_reach_endpoints(self):
    self.check_held(PART)

  def test_gateway_that_spends_the_retries_of_all_is_detected(self):
    self.check_found(FAILING, 'standins.soak_lavish_gateway', 'RETRIES')

  def test_retries_of_gateways_that_are_apart_stay_within_the_bound(self):
    self.check_held(FAILING)


if __name__ == '__main__':
  unittest.main()
