"""Tests of the search for prompt parts that crash endpoints."""

import unittest

from mulberrypick.core import crashing_parts
from mulberrypick.core import gateway_records

FIRST, CRASHING, OTHER_CRASHING = 1, 2, 3
BYSTANDER, SHARED = 4, 5


def make_crashes(
    *parts_of_runs: tuple[tuple[int, ...], ...], interval_s: float = 2.0
) -> list[crashing_parts.PartCrash]:
  """Returns crashes at intervals, each with the parts of its requests."""
  crashes = []
  request = 0
  for number, runs in enumerate(parts_of_runs):
    involved = []
    for parts in runs:
      request += 1
      involved.append(crashing_parts.PartRun(request, frozenset(parts)))
    crashes.append(
        crashing_parts.PartCrash(
            (f'e{number}', 1), 100.0 + number * interval_s, tuple(involved)
        )
    )
  return crashes


def find(
    crashes: list[crashing_parts.PartCrash],
    completed_at: dict[int, float] | None = None,
) -> list[set[int]]:
  """Returns the sets of parts that are refused."""
  refused = crashing_parts.find_refused(crashes, completed_at or {})
  return [set(refusal.keys) for refusal in refused]


class FindRefusedTest(unittest.TestCase):

  def test_three_crashes_under_three_requests(self):
    runs = ((FIRST, CRASHING),)
    self.assertEqual(find(make_crashes(runs, runs)), [])
    self.assertEqual(find(make_crashes(runs, runs, runs)), [{FIRST, CRASHING}])

  def test_crashes_under_one_request_are_not_blamed_on_its_parts(self):
    crashes = []
    for crash in make_crashes(*[((FIRST, CRASHING),)] * 5):
      run = crash.runs[0]._replace(request=7)
      crashes.append(crash._replace(runs=(run,)))
    self.assertEqual(find(crashes), [])

  def test_parts_that_only_some_requests_hold_are_not_required(self):
    crashes = make_crashes(
        ((FIRST, CRASHING, 10),),
        ((FIRST, CRASHING, 11),),
        ((FIRST, CRASHING, 10),),
    )
    self.assertEqual(find(crashes), [{FIRST, CRASHING}])

  def test_part_of_requests_that_ran_beside_is_not_refused(self):
    runs = ((FIRST, CRASHING), (FIRST, BYSTANDER))
    others = ((FIRST, CRASHING),)
    crashes = make_crashes(runs, runs, runs, others)
    self.assertEqual(find(crashes), [{FIRST, CRASHING}])

  def test_part_of_requests_that_always_ran_beside(self):
    runs = ((FIRST, CRASHING), (FIRST, BYSTANDER))
    # Either may be the cause, but not what they share.
    crashes = make_crashes(runs, runs, runs)
    both = [{FIRST, CRASHING}, {FIRST, BYSTANDER}]
    self.assertCountEqual(find(crashes), both)
    for refusal in crashing_parts.find_refused(crashes, {}):
      self.assertEqual(
          refusal.probe_interval_s, crashing_parts.AMBIGUOUS_PROBE_S
      )
    crashes = make_crashes(runs, runs, runs, ((FIRST, CRASHING),))
    self.assertEqual(find(crashes), [{FIRST, CRASHING}])

  def test_part_that_also_ran_on_an_endpoint_that_crashed_by_itself(self):
    runs = ((FIRST, CRASHING), (FIRST, BYSTANDER))
    alone = ((FIRST, BYSTANDER),)
    crashes = make_crashes(runs, runs, runs, alone, ((FIRST, CRASHING),))
    self.assertIn({FIRST, CRASHING}, find(crashes))

  def test_two_crashing_parts_at_once(self):
    one, two = ((FIRST, CRASHING),), ((FIRST, OTHER_CRASHING),)
    refused = find(make_crashes(one, two, one, two, one, two))
    self.assertCountEqual(refused, [{FIRST, CRASHING}, {FIRST, OTHER_CRASHING}])

  def test_two_crashing_parts_on_the_same_endpoints(self):
    both = ((FIRST, CRASHING), (FIRST, OTHER_CRASHING))
    one, two = ((FIRST, CRASHING),), ((FIRST, OTHER_CRASHING),)
    refused = find(make_crashes(both, one, two, one, two))
    self.assertCountEqual(refused, [{FIRST, CRASHING}, {FIRST, OTHER_CRASHING}])

  def test_two_crashing_parts_in_one_request(self):
    runs = ((FIRST, CRASHING, OTHER_CRASHING),)
    alone = ((FIRST, CRASHING),)
    refused = find(make_crashes(runs, runs, runs))
    self.assertEqual(refused, [{FIRST, CRASHING, OTHER_CRASHING}])
    refused = find(make_crashes(runs, runs, runs, alone, alone, alone))
    self.assertIn({FIRST, CRASHING}, refused)

  def test_shared_part_of_two_crashing_parts_is_not_refused(self):
    one = ((FIRST, SHARED, CRASHING),)
    two = ((FIRST, SHARED, OTHER_CRASHING),)
    refused = find(make_crashes(one, two, one, two, one, two))
    self.assertNotIn({FIRST, SHARED}, refused)
    self.assertEqual(len(refused), 2)

  def test_part_is_refused_with_parts_of_many_kinds_beside(self):
    runs = []
    for number in range(5):
      runs.append(((FIRST, CRASHING, 100 + number),))
    self.assertEqual(find(make_crashes(*runs)), [{FIRST, CRASHING}])

  def test_part_without_a_common_first_part(self):
    crashes = make_crashes(((10, 2),), ((11, 2),), ((12, 2),))
    self.assertEqual(find(crashes), [{2}])

  def test_part_on_which_an_answer_was_written_lately_is_not_refused(self):
    runs = ((FIRST,),)
    crashes = make_crashes(runs, runs, runs)
    last_at = crashes[-1].began_at
    self.assertEqual(find(crashes, {FIRST: last_at - 1.0}), [])
    before = last_at - crashing_parts.SOUND_S - 1.0
    self.assertEqual(find(crashes, {FIRST: before}), [{FIRST}])

  def test_part_that_became_crashing_is_refused_after_a_while(self):
    runs = ((FIRST, CRASHING),)
    completed_at = {CRASHING: 99.0, FIRST: 1000.0}
    self.assertEqual(find(make_crashes(*[runs] * 5), completed_at), [])
    refused = find(make_crashes(*[runs] * 7), completed_at)
    self.assertEqual(refused, [{FIRST, CRASHING}])

  def test_endpoints_that_crash_at_once(self):
    runs = ((FIRST, CRASHING),)
    crashes = make_crashes(*[runs] * 4, interval_s=0.001)
    self.assertEqual(find(crashes), [])
    crashes = make_crashes(*[runs] * 5, interval_s=0.001)
    self.assertEqual(find(crashes), [{FIRST, CRASHING}])

  def test_part_of_some_endpoints_that_crash_at_once_repeatedly(self):
    runs = [((FIRST, CRASHING),)] * 2 + [((FIRST, 9),)] * 2
    crashes = make_crashes(*runs, interval_s=0.001)
    for crash in make_crashes(*runs, interval_s=0.001):
      later = crash._replace(key=(crash.key[0], 2), began_at=110.0)
      involved = [r._replace(request=r.request + 100) for r in later.runs]
      crashes.append(later._replace(runs=tuple(involved)))
    completed_at = {FIRST: 105.0}
    self.assertEqual(find(crashes, completed_at), [])

  def test_part_of_few_of_many_endpoints_that_crash_together(self):
    runs = [((FIRST, CRASHING),)] * 3 + [((9,),)] * 30
    completed_at = {9: 99.9, FIRST: 99.9}
    crashes = make_crashes(*runs, interval_s=0.01)
    self.assertEqual(find(crashes, completed_at), [])

  def test_part_of_many_requests_on_each_endpoint_needs_more_crashes(self):
    runs = ((FIRST,),) * 4
    self.assertEqual(find(make_crashes(*[runs] * 5)), [])
    self.assertEqual(find(make_crashes(*[runs] * 6)), [{FIRST}])
    crashing = ((FIRST, CRASHING), *runs)
    self.assertEqual(find(make_crashes(crashing, crashing, runs)), [])
    refused = find(make_crashes(crashing, crashing, runs, crashing))
    self.assertEqual(refused, [{FIRST, CRASHING}])

  def test_unrelated_crashes_do_not_widen_a_refusal(self):
    runs = ((FIRST, CRASHING),)
    crashes = make_crashes(runs, runs, runs, ((FIRST, 9),), ((FIRST, 8),))
    self.assertEqual(find(crashes), [{FIRST, CRASHING}])

  def test_probe_interval_grows_with_crashes_after_a_pause(self):
    runs = ((FIRST, CRASHING),)
    crashes = make_crashes(*[runs] * 4, interval_s=0.1)
    refusal = crashing_parts.find_refused(crashes, {})[0]
    self.assertEqual(refusal.probe_interval_s, crashing_parts.PROBE_S)
    late = crashes[-1].began_at + crashing_parts.PROBE_S
    crashes.append(crashes[0]._replace(key=('e9', 1), began_at=late))
    refusal = crashing_parts.find_refused(crashes, {})[0]
    self.assertEqual(
        refusal.probe_interval_s,
        crashing_parts.PROBE_S * crashing_parts.PROBE_FACTOR,
    )


class CandidateKeysTest(unittest.TestCase):

  def make_parts(self, *keys: int) -> tuple[gateway_records.PromptPart, ...]:
    return tuple(gateway_records.PromptPart(key, 5) for key in keys)

  def test_the_last_part_is_left_out(self):
    keys = crashing_parts.candidate_keys(self.make_parts(1, 2, 3))
    self.assertEqual(keys, {1, 2})
    self.assertEqual(crashing_parts.candidate_keys(self.make_parts(1)), set())
    self.assertEqual(crashing_parts.candidate_keys(()), set())

  def test_many_parts_and_repeated_ones(self):
    keys = crashing_parts.candidate_keys(self.make_parts(*[7] * 300, 8, 9))
    self.assertEqual(keys, {7, 8})
    keys = crashing_parts.candidate_keys(self.make_parts(*range(300)))
    self.assertEqual(len(keys), crashing_parts.MAX_PARTS)


if __name__ == '__main__':
  unittest.main()
