"""Tests for the dispatcher: routing, queueing, retries and refusals."""

import unittest

from mulberrypick.core import admission
from mulberrypick.core import cost as cost_model
from mulberrypick.core import dispatch
from mulberrypick.core import errors
from mulberrypick.core import messages
from mulberrypick.core import records
from mulberrypick.core import routing
from mulberrypick.core import waiting as waiting_base

URGENT = records.Rank('urgent', True, 0.5, 0.05, 5.0, 0.3)
OTHER = records.Rank('other', False, 2.0, 0.2, 30.0, 0.3)
CONFIG = records.Config(
    1,
    {'m': records.Model('m', '1', (), 3)},
    {'urgent': URGENT, 'other': OTHER},
    {},
    {'t': records.Tenant('t', 1.0, (), (), '')},
)


def make_host(name, zone='z1', state=records.STATE_LIVE, incarnation=1):
  """Returns the entry of an engine in the list of hosts."""
  return records.Host(
      name,
      zone,
      records.HOST_ENGINE,
      '127.0.0.1:1',
      '',
      '',
      incarnation,
      state,
      True,
  )


def make_report(name, **changes):
  """Returns the report of an idle engine that has the model `m` loaded."""
  report = records.EngineReport(
      name, 1, records.ROLE_MIXED, ('m',), 0, 0, 2000, 2000, False, 8000.0,
      0.01, 0.0,
  )  # fmt: skip
  return report._replace(**changes)


def make_request(request_id, rank='other', **changes):
  """Returns a small request for the model `m` that arrives at time 0."""
  request = records.InferenceRequest(
      request_id, 't', rank, 's', 'm', '', 'a b c', 3, 16, 0.0, 30.0
  )
  return request._replace(**changes)


def make_dispatcher(names=('e1', 'e2'), router=None):
  """Returns a dispatcher that knows some idle engines."""
  dispatcher = dispatch.Dispatcher(
      'entry-1',
      'z1',
      router or routing.LeastInFlightRouter(),
      admission.FirstComeFirstServed(),
      seed=7,
  )
  dispatcher.handle(messages.ConfigSeen(CONFIG), 0.0)
  hosts = tuple(make_host(name) for name in names)
  dispatcher.handle(messages.HostsSeen(hosts), 0.0)
  for name in names:
    dispatcher.handle(messages.ReportSeen(make_report(name)), 0.0)
  return dispatcher


def submit(dispatcher, request, now=0.0, next_index=0, failed=()):
  """Submits a request and returns its only effect."""
  message = messages.Submit(request, next_index, failed)
  (effect,) = dispatcher.handle(message, now)
  return effect


def end(dispatcher, start, outcome, now=1.0):
  """Ends the attempt of a `Start` effect and returns the new effects."""
  attempt = start.attempt
  message = messages.AttemptEnded(
      start.request_id, attempt.attempt_id, attempt.endpoint, outcome, 0, 0, 0
  )
  return dispatcher.handle(message, now)


class TestDispatcher(unittest.TestCase):

  def test_two_requests_go_to_two_engines(self):
    dispatcher = make_dispatcher()
    first = submit(dispatcher, make_request('r1'))
    second = submit(dispatcher, make_request('r2', 'urgent'))
    self.assertNotEqual(first.attempt.endpoint, second.attempt.endpoint)
    self.assertEqual('r1/1', first.attempt.attempt_id)
    self.assertGreater(second.attempt.priority, first.attempt.priority)

  def test_an_unknown_model_is_refused_with_a_retry_time(self):
    dispatcher = make_dispatcher()
    effect = submit(dispatcher, make_request('r1', model='x'))
    self.assertIsInstance(effect.error, errors.UnavailableError)
    self.assertEqual(errors.RUN_NOT_RUN, effect.error.run)
    self.assertGreater(effect.error.retry_after_s, 0.0)

  def test_a_past_deadline_is_refused(self):
    dispatcher = make_dispatcher()
    effect = submit(dispatcher, make_request('r1', deadline_at=3.0), now=4.0)
    self.assertIsInstance(effect.error, errors.DeadlineError)

  def test_a_resume_avoids_the_failed_engine_and_keeps_the_index(self):
    dispatcher = make_dispatcher()
    first = submit(dispatcher, make_request('r1'))
    failed = first.attempt.endpoint
    end(dispatcher, first, messages.OUTCOME_FAILED)
    again = submit(dispatcher, make_request('r1'), 1.0, 5, (failed,))
    self.assertNotEqual(failed, again.attempt.endpoint)
    self.assertEqual('r1/2', again.attempt.attempt_id)
    self.assertEqual(5, again.attempt.start_index)

  def test_a_leaving_engine_gets_nothing_until_it_restarts(self):
    dispatcher = make_dispatcher(['e1'])
    leaving = make_host('e1', state=records.STATE_LEAVING)
    dispatcher.handle(messages.HostsSeen((leaving,)), 1.0)
    dispatcher.handle(messages.HostsSeen((make_host('e1'),)), 2.0)
    effect = submit(dispatcher, make_request('r1'), 3.0)
    self.assertIsInstance(effect, messages.Refuse)
    restarted = make_host('e1', incarnation=2)
    dispatcher.handle(messages.HostsSeen((restarted,)), 4.0)
    report = make_report('e1', incarnation=2)
    dispatcher.handle(messages.ReportSeen(report), 4.0)
    effect = submit(dispatcher, make_request('r2'), 5.0)
    self.assertIsInstance(effect, messages.Start)

  def test_an_engine_reported_as_leaving_by_a_peer_gets_nothing(self):
    dispatcher = make_dispatcher(['e1'])
    peer_message = messages.PeerSeen('entry-2', {}, {}, (), ('e1/1',))
    dispatcher.handle(peer_message, 1.0)
    effect = submit(dispatcher, make_request('r1'), 2.0)
    self.assertIsInstance(effect, messages.Refuse)

  def test_a_draining_engine_is_used_again_after_the_drain(self):
    dispatcher = make_dispatcher(['e1'])
    draining = make_report('e1', is_draining=True)
    dispatcher.handle(messages.ReportSeen(draining), 1.0)
    effect = submit(dispatcher, make_request('r1'), 1.0)
    self.assertIsInstance(effect, messages.Refuse)
    dispatcher.handle(messages.ReportSeen(make_report('e1')), 2.0)
    effect = submit(dispatcher, make_request('r2'), 2.0)
    self.assertIsInstance(effect, messages.Start)

  def test_a_request_waits_while_its_engine_is_in_backoff(self):
    dispatcher = make_dispatcher(['e1'])
    first = submit(dispatcher, make_request('r1'))
    end(dispatcher, first, messages.OUTCOME_REFUSED)
    message = messages.Submit(make_request('r1'), 0, ('e1',))
    self.assertEqual([], dispatcher.handle(message, 1.0))
    effects = dispatcher.handle(messages.Tick(), 3.0)
    self.assertEqual('r1/2', effects[0].attempt.attempt_id)

  def test_a_withdrawn_request_is_never_started(self):
    dispatcher = make_dispatcher(['e1'])
    first = submit(dispatcher, make_request('r1'))
    end(dispatcher, first, messages.OUTCOME_REFUSED)
    dispatcher.handle(messages.Submit(make_request('r2'), 0, ()), 1.0)
    dispatcher.handle(messages.Withdraw('r2'), 1.0)
    self.assertEqual([], dispatcher.handle(messages.Tick(), 9.0))

  def test_explain_lists_the_events_of_a_request(self):
    dispatcher = make_dispatcher(['e1'])
    start = submit(dispatcher, make_request('r1'))
    end(dispatcher, start, messages.OUTCOME_WHOLE)
    lines = dispatcher.explain('r1')
    self.assertIn('r1/1 to e1', lines[0])
    self.assertIn('whole', lines[1])

  def test_snapshot_counts_what_runs(self):
    dispatcher = make_dispatcher()
    submit(dispatcher, make_request('r1'))
    status = dispatcher.snapshot(0.5)
    self.assertEqual(1, status.running)
    self.assertEqual(['e1', 'e2'], [e.name for e in status.endpoints])


class TestSplitRoles(unittest.TestCase):

  def make_split(self, roles):
    dispatcher = make_dispatcher(
        list(roles), routing.make_router('predicted-time')
    )
    for name, role in roles.items():
      report = make_report(name, role=role)
      dispatcher.handle(messages.ReportSeen(report), 0.1)
    return dispatcher

  def test_a_prompt_is_prefilled_on_the_engine_for_it(self):
    roles = {'p': records.ROLE_PREFILL, 'd': records.ROLE_DECODE}
    dispatcher = self.make_split(roles)
    start = submit(dispatcher, make_request('r1'), 0.2)
    self.assertEqual('d', start.attempt.endpoint)
    self.assertEqual('p', start.prefill_attempt.endpoint)
    self.assertNotEqual(
        start.attempt.attempt_id, start.prefill_attempt.attempt_id
    )
    prefill = start._replace(attempt=start.prefill_attempt)
    end(dispatcher, prefill, messages.OUTCOME_WHOLE)
    end(dispatcher, start, messages.OUTCOME_WHOLE)
    status = dispatcher.snapshot(2.0)
    self.assertEqual(0, status.running)
    self.assertEqual([0, 0], [e.in_flight for e in status.endpoints])

  def test_a_resume_needs_no_engine_for_prefill(self):
    roles = {'p': records.ROLE_PREFILL, 'd': records.ROLE_DECODE}
    dispatcher = self.make_split(roles)
    start = submit(dispatcher, make_request('r1'), 0.2, 5, ('gone',))
    self.assertEqual('d', start.attempt.endpoint)
    self.assertIsNone(start.prefill_attempt)

  def test_an_engine_that_decodes_gets_nothing_without_one_that_prefills(self):
    roles = {'m': records.ROLE_MIXED, 'd': records.ROLE_DECODE}
    dispatcher = self.make_split(roles)
    for number in range(4):
      start = submit(dispatcher, make_request(f'r{number}'), 0.2)
      self.assertEqual('m', start.attempt.endpoint)


class TestDemand(unittest.TestCase):

  def test_the_status_counts_the_demand_of_refused_requests(self):
    dispatcher = make_dispatcher(['e1'])
    request = make_request('r', prompt_tokens=8000, deadline_at=900.0)
    for number in range(100):
      numbered = request._replace(request_id=f'r{number}')
      dispatcher.handle(messages.Submit(numbered, 0, ()), 0.1 * number)
    prefill, decode = dispatcher.snapshot(10.0).demand_by_model['m']
    # Ten requests per second, with one second of prefill each.
    self.assertAlmostEqual(10.0, prefill, delta=1.0)
    self.assertGreater(decode, 0.0)


class TestCrashes(unittest.TestCase):

  def test_a_crashing_request_is_refused_after_two_engines(self):
    dispatcher = make_dispatcher(['e1', 'e2', 'e3', 'e4'])
    crash = make_request('r1', prompt='crash')
    first = submit(dispatcher, crash)
    end(dispatcher, first, messages.OUTCOME_FAILED)
    failed = (first.attempt.endpoint,)
    second = submit(dispatcher, crash, 1.0, failed=failed)
    self.assertNotEqual(failed[0], second.attempt.endpoint)
    end(dispatcher, second, messages.OUTCOME_FAILED, 4.0)
    failed += (second.attempt.endpoint,)
    message = messages.Submit(crash, 0, failed)
    # The refusal is only sent once the other hosts can know about it.
    self.assertEqual([], dispatcher.handle(message, 4.0))
    peer_message = dispatcher.make_peer_message(4.1)
    (refuse,) = dispatcher.handle(messages.Tick(), 4.2)
    self.assertIsInstance(refuse.error, errors.RepeatedCrashError)

    other_host = make_dispatcher()
    other_host.handle(peer_message._replace(peer='entry-9'), 4.3)
    again = submit(other_host, crash._replace(request_id='r9'), 4.4)
    self.assertIsInstance(again.error, errors.RepeatedCrashError)
    innocent = submit(dispatcher, make_request('r2'), 5.0)
    self.assertIsInstance(innocent, messages.Start)

  def test_crashes_at_several_hosts_count_together(self):
    crash = make_request('r1', prompt='crash')
    dispatchers = []
    for number in range(6):
      dispatcher = make_dispatcher([f'e{number}', f'f{number}'])
      start = submit(dispatcher, crash)
      end(dispatcher, start, messages.OUTCOME_FAILED)
      dispatchers.append(dispatcher)
    for number, sender in enumerate(dispatchers):
      message = sender.make_peer_message(1.1)._replace(peer=f'entry-{number}')
      for receiver in dispatchers:
        if receiver is not sender:
          receiver.handle(message, 1.2)
    again = messages.Submit(crash._replace(request_id='r2'), 0, ())
    for dispatcher in dispatchers:
      effects = dispatcher.handle(again, 2.0)
      dispatcher.make_peer_message(2.1)
      effects += dispatcher.handle(messages.Tick(), 2.2)
      (refuse,) = effects
      self.assertIsInstance(refuse, messages.Refuse)
      self.assertIsInstance(refuse.error, errors.RepeatedCrashError)

  def test_a_suspect_of_a_peer_waits_for_its_verdict(self):
    dispatcher = make_dispatcher()
    request = make_request('r1')
    suspect = (waiting_base.fingerprint(request),)
    peer_message = messages.PeerSeen(
        'entry-2', {}, {}, (), (), suspects=suspect
    )
    dispatcher.handle(peer_message, 0.5)
    message = messages.Submit(request, 0, ())
    self.assertEqual([], dispatcher.handle(message, 1.0))
    (start,) = dispatcher.handle(messages.Tick(), 5.0)
    self.assertIsInstance(start, messages.Start)

  def test_attempts_are_bounded(self):
    dispatcher = make_dispatcher(['e1', 'e2', 'e3', 'e4', 'e5'])
    request = make_request('r1', deadline_at=200.0)
    failed = ()
    for number in range(dispatch.DEFAULT_MAX_ATTEMPTS):
      now = 20.0 * number
      start = submit(dispatcher, request, now, len(failed), failed)
      failed += (start.attempt.endpoint,)
      # Enough time passes for each failure to count separately.
      end(dispatcher, start, messages.OUTCOME_FAILED, now + 1.0)
      dispatcher._isolation.quarantine.record_completion(
          waiting_base.fingerprint(request), now + 1.0
      )
    refuse = submit(dispatcher, request, 90.0, 3, failed)
    self.assertIsInstance(refuse.error, errors.UnavailableError)


class TestBaselines(unittest.TestCase):

  def test_round_robin_takes_turns(self):
    dispatcher = make_dispatcher(router=routing.RoundRobinRouter())
    used = []
    for number in range(4):
      start = submit(dispatcher, make_request(f'r{number}'))
      used.append(start.attempt.endpoint)
    self.assertEqual(used[:2], used[2:])
    self.assertEqual(2, len(set(used)))

  def test_first_come_refuses_when_the_queue_is_full(self):
    queue = admission.FirstComeFirstServed(queue_limit=1)
    cost = cost_model.Cost(1, 0.1, 0.1, 0.1, 1)
    waiting = waiting_base.WaitingRequest(
        make_request('r1'), 0, (), cost, 0.0, False, 1
    )
    self.assertIsNone(queue.offer('m', waiting, 0.0))
    other = waiting._replace(request=make_request('r2'))
    error = queue.offer('m', other, 0.0)
    self.assertIsInstance(error, errors.OverloadedError)


if __name__ == '__main__':
  unittest.main()
