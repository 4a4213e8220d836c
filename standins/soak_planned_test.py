"""Tests of planned work in the soak: its draws, its judge and short runs."""

import unittest

from standins import soak
from standins import soak_planned_checks
from standins import soak_planned_plan

STOP = soak_planned_checks.Stop('host-1', 10.0, 6.0, 15.5, 0)
REQUEST = soak_planned_checks.Request(
    request='r1',
    route='unsafe',
    gateway='host-1',
    way='whole',
    began_at=11.0,
    sent_at=11.0,
    closed_at=12.0,
    status=200,
    is_whole=True,
    is_right=True,
    limit_s=15.0,
    is_behind_close=False,
)
CUT = REQUEST._replace(status=0, is_whole=False, is_right=False)
RUN = soak_planned_checks.Run(11.0, 11.9)
WORK = soak_planned_plan.Work
GRACE_S = 3
# Half of it is left when requests that are sent can't be excused any more.
LONG_GRACE_S = 6
SENDING_WAYS = ('whole', 'chunked', 'late', 'pipelined', 'half')


def kinds(request, runs=(RUN,), stops=(STOP,)) -> list[str]:
  lines = soak_planned_checks.find_violations([request], {'r1': runs}, stops)
  return [line.partition(':')[0] for line in lines]


def make_plan(
    *steps: soak_planned_plan.Step, grace_s: int = GRACE_S
) -> soak_planned_plan.Plan:
  connections = []
  for number in range(40):
    way = soak_planned_plan.Way(SENDING_WAYS[number % len(SENDING_WAYS)])
    connections.append(
        soak_planned_plan.Connection('host-2', way, 0.0, f'test-{number}')
    )
  return soak_planned_plan.Plan('host-2', grace_s, list(steps), connections)


class PlanTest(unittest.TestCase):

  def test_seeds_cover_all_planned_work_and_ways_in(self):
    works, ways, changes, graces = set(), set(), set(), []
    for seed in range(1, 101):
      plan = soak_planned_plan.plan(seed)
      self.assertEqual(plan, soak_planned_plan.plan(seed))
      self.assertIn(len(plan.steps), (1, 2))
      self.assertEqual(len(set(plan.stopped())), len(plan.stopped()))
      works.update(step.work for step in plan.steps)
      changes.update(step.change for step in plan.steps)
      ways.update(connection.way for connection in plan.connections)
      graces.append(plan.grace_s)
    self.assertEqual(works, set(WORK))
    self.assertEqual(changes, {'', *soak_planned_plan.CHANGES})
    self.assertEqual(ways, set(soak_planned_plan.Way))
    self.assertEqual(min(graces), 1)
    self.assertGreater(max(graces), 8)
    self.assertLessEqual(max(graces), 30)


class JudgeTest(unittest.TestCase):

  def test_whole_answer_is_no_violation(self):
    self.assertEqual(kinds(REQUEST), [])

  def test_request_that_ran_without_a_whole_answer(self):
    self.assertEqual(kinds(CUT), ['LOST'])
    self.assertEqual(kinds(CUT._replace(status=200)), ['LOST'])
    self.assertEqual(kinds(CUT._replace(sent_at=11.9)), ['LOST'])
    self.assertEqual(kinds(CUT, stops=()), ['LOST'])
    self.assertEqual(kinds(CUT._replace(status=502, is_whole=True)), [])

  def test_request_that_did_not_run(self):
    self.assertEqual(kinds(CUT, ()), ['LOST'])
    self.assertEqual(kinds(CUT._replace(sent_at=11.81), ()), [])
    self.assertEqual(kinds(CUT._replace(sent_at=None), ()), [])
    self.assertEqual(kinds(CUT._replace(is_behind_close=True), ()), [])
    self.assertEqual(kinds(CUT._replace(is_behind_close=True)), ['LOST'])

  def test_late_end_that_a_slow_reader_sees_after_the_exit(self):
    late = CUT._replace(sent_at=15.4, closed_at=18.0)
    self.assertEqual(kinds(late, ()), [])
    self.assertEqual(kinds(late._replace(sent_at=15.2), ()), ['LOST'])

  def test_endpoint_that_broke_off_or_a_limit_that_was_reached(self):
    broken = RUN._replace(has_broken_off=True)
    self.assertEqual(kinds(CUT, (broken,)), [])
    self.assertEqual(kinds(CUT._replace(limit_s=1.0)), [])
    self.assertEqual(kinds(CUT._replace(limit_s=1.1)), ['LOST'])

  def test_work_in_the_last_sixth_of_the_grace_period(self):
    cut = CUT._replace(closed_at=15.4)
    working = RUN._replace(ended_at=15.0)
    self.assertEqual(kinds(cut, (working,)), [])
    self.assertEqual(kinds(cut, (RUN._replace(ended_at=14.9),)), ['LOST'])
    early = cut._replace(began_at=9.0, sent_at=13.0)
    self.assertEqual(kinds(early, (working,)), [])
    self.assertEqual(kinds(early._replace(sent_at=13.1), (working,)), ['LOST'])

  def test_request_that_ran_twice(self):
    self.assertEqual(kinds(REQUEST, (RUN, RUN)), ['TWICE'])
    safe = REQUEST._replace(route='safe')
    self.assertEqual(kinds(safe, (RUN, RUN)), [])

  def test_request_that_ran_despite_a_refusal(self):
    refused = REQUEST._replace(status=503, is_right=False)
    self.assertEqual(kinds(refused), ['REFUSED'])
    self.assertEqual(kinds(refused, ()), [])
    self.assertEqual(kinds(refused._replace(route='ask')), [])

  def test_short_body_that_looks_complete(self):
    self.assertEqual(kinds(REQUEST._replace(is_right=False)), ['MIXED'])
    self.assertEqual(kinds(REQUEST, ()), ['MIXED'])

  def test_process_that_does_not_end_by_itself(self):
    late = STOP._replace(gone_at=16.0)
    self.assertEqual(kinds(REQUEST, stops=(late,)), ['ENDED'])
    failed = STOP._replace(status=1)
    self.assertEqual(kinds(REQUEST, stops=(failed,)), ['ENDED'])


class ShortRunTest(unittest.TestCase):

  def test_stop_beside_a_configuration_and_a_changed_file(self):
    plan = make_plan(
        soak_planned_plan.Step(-0.4, WORK.RELOAD),
        soak_planned_plan.Step(0.3, WORK.CONFIG, 'move'),
    )
    violations, summary = soak.run_planned(plan, 'planned')
    self.assertEqual(violations, [], summary)

  def test_gateway_that_cuts_what_it_sent_too_late_is_detected(self):
    violations, summary = soak.run_planned(
        make_plan(grace_s=LONG_GRACE_S),
        'planned-cut',
        'standins.soak_cutting_gateway',
    )
    found = {line.partition(':')[0] for line in violations}
    self.assertEqual(found, {'LOST'}, summary)


if __name__ == '__main__':
  unittest.main()
