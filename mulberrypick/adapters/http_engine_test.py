"""Tests of the HTTP engine client against stand-in engine processes."""

import pathlib
import tempfile
import time
import unittest

from mulberrypick.adapters import engine
from mulberrypick.adapters import http_engine
from mulberrypick.core import assembly
from mulberrypick.core import errors
from mulberrypick.core import records
from standins import answers
from standins import launcher
from standins import relay

WAIT_TIMEOUT_S = 20.0
STALL_TIMEOUT_S = 1.0
SLOW = ('--decode-step-s', '0.02')
MODELS = ('--models', 'reader@1,reader@1+jp')
PROMPT = ' '.join(answers.WORDS[:64])


def make_request(prompt, max_tokens=256, adapter=''):
  return records.InferenceRequest(
      'r1',
      'mill',
      'urgent',
      's',
      'reader',
      adapter,
      prompt,
      0,
      max_tokens,
      0,
      0,
  )


def make_attempt(program, start_index=0, attempt_id='r1/1'):
  return records.Attempt(
      attempt_id, program.name, program.address, start_index, 0
  )


def make_order(program, sequence, fence, action, role=''):
  return records.Order(program.name, sequence, fence, action, '', '', '', role)


class EngineTestCase(unittest.TestCase):

  @classmethod
  def setUpClass(cls):
    folder = cls.enterClassContext(tempfile.TemporaryDirectory())
    cls.fleet = cls.enterClassContext(launcher.Fleet(pathlib.Path(folder)))
    cls.adapter = http_engine.HttpEngine(
        '127.0.2.1', stall_timeout_s=STALL_TIMEOUT_S
    )

  def start(self, name, *flags, **options):
    program = self.fleet.start_engine(name, 1, *MODELS, *flags, **options)
    self.addCleanup(self.end, name)
    return program

  def end(self, name):
    if name in self.fleet.program_by_name:
      self.fleet.kill(name)

  def state(self, program):
    return self.adapter.read_state(program.name, program.address)

  def wait_for(self, condition):
    deadline = time.monotonic() + WAIT_TIMEOUT_S
    while not condition():
      self.assertLess(time.monotonic(), deadline, 'condition not met in time')
      time.sleep(0.02)


class TestStreams(EngineTestCase):

  def test_streams_complete_response(self):
    program = self.start('whole')
    request = make_request('how far length=40', adapter='jp')
    frames = list(self.adapter.generate(make_attempt(program), request))
    expected = answers.expected_tokens('reader', 'jp', request.prompt, 256)
    self.assertEqual([f.text for f in frames[:-1]], expected)
    self.assertEqual([f.index for f in frames], list(range(41)))
    self.assertEqual(
        frames[-1], records.Frame('r1/1', 40, '', True, 'stop', 3, 0)
    )

  def test_resumes_at_index(self):
    program = self.start('resume')
    request = make_request('how far length=40', max_tokens=30)
    frames = list(self.adapter.generate(make_attempt(program, 25), request))
    expected = answers.expected_tokens('reader', '', request.prompt, 30)
    self.assertEqual([f.text for f in frames[:-1]], expected[25:])
    self.assertEqual(frames[-1].finish_reason, 'length')

  def test_connection_is_reused_after_complete_stream(self):
    program = self.start('reuse')
    proxy = self.enterContext(relay.Relay(program.address))
    attempt = make_attempt(program)._replace(address=proxy.address)
    for _ in range(3):
      list(self.adapter.generate(attempt, make_request('a length=3')))
    self.assertEqual(proxy.connections, 1)

  def test_closing_iterator_cancels_request(self):
    program = self.start('close', *SLOW)
    stream = self.adapter.generate(
        make_attempt(program), make_request('a length=5000', 5000)
    )
    next(stream)
    self.assertEqual(self.state(program).running, 1)
    stream.close()
    self.wait_for(lambda: self.state(program).running == 0)

  def test_stalled_queued_request_is_cancelled(self):
    program = self.start('queue', *SLOW, '--max-running', '1')
    first = self.adapter.generate(
        make_attempt(program), make_request('a length=5000', 5000)
    )
    next(first)
    waiting = self.adapter.generate(
        make_attempt(program, attempt_id='r2/1'), make_request('b length=9')
    )
    # The queued request times out before its first token, which closes its
    # connection and so cancels it.
    with self.assertRaises(errors.EndpointFailedError):
      next(waiting)
    self.wait_for(lambda: self.state(program).running == 1)
    first.close()

  def test_cancel_ends_a_stream(self):
    program = self.start('cancel', *SLOW)
    attempt = make_attempt(program)
    stream = self.adapter.generate(attempt, make_request('a length=500', 500))
    next(stream)
    self.adapter.cancel(attempt)
    with self.assertRaises(errors.EndpointFailedError):
      list(stream)
    self.adapter.cancel(attempt)

  def test_engine_crash_during_stream_fails(self):
    program = self.start('crash', *SLOW)
    self.fleet.put_fault(program, crash_after_tokens=5)
    stream = self.adapter.generate(
        make_attempt(program), make_request('a length=100')
    )
    received = []
    with self.assertRaises(errors.EndpointFailedError):
      received.extend(frame.index for frame in stream)
    self.assertNotEqual(self.fleet.wait('crash'), 0)

  def test_prompt_that_crashes_engine(self):
    program = self.start('poison')
    with self.assertRaises(errors.EndpointFailedError):
      list(
          self.adapter.generate(
              make_attempt(program), make_request('a crash=always')
          )
      )
    self.assertNotEqual(self.fleet.wait('poison'), 0)
    with self.assertRaises(errors.EndpointUnreachableError):
      next(self.adapter.generate(make_attempt(program), make_request('a b')))

  def test_paused_engine_fails_stream(self):
    program = self.start('pause', *SLOW)
    stream = self.adapter.generate(
        make_attempt(program), make_request('a length=5000', 5000)
    )
    next(stream)
    self.fleet.pause('pause')
    with self.assertRaises(errors.EndpointFailedError):
      list(stream)

  def test_frozen_engine_fails_stream_and_recovers(self):
    program = self.start('freeze', *SLOW)
    request = make_request('a length=200')
    stream = self.adapter.generate(make_attempt(program), request)
    next(stream)
    self.fleet.put_fault(program, freeze_s=2 * STALL_TIMEOUT_S)
    with self.assertRaises(errors.EndpointFailedError):
      list(stream)
    lenient_adapter = http_engine.HttpEngine(stall_timeout_s=WAIT_TIMEOUT_S)
    request = make_request('a length=5')
    frames = list(lenient_adapter.generate(make_attempt(program), request))
    self.assertEqual(len(frames), 6)

  def test_restarted_engine_is_reached_again(self):
    program = self.start('anew')
    request = make_request('a length=3')
    for _ in range(3):
      frames = list(self.adapter.generate(make_attempt(program), request))
      self.assertEqual(len(frames), 4)
      # The pool still holds a connection to the killed engine.
      self.fleet.kill('anew')
      program = self.start('anew', address=program.address)
    self.assertEqual(self.state(program).incarnation, 4)

  def test_connection_cut_during_stream_fails(self):
    program = self.start('link', *SLOW)
    proxy = self.enterContext(relay.Relay(program.address))
    attempt = make_attempt(program)._replace(address=proxy.address)
    stream = self.adapter.generate(attempt, make_request('a length=900', 900))
    next(stream)
    proxy.cut()
    with self.assertRaises(errors.EndpointFailedError):
      list(stream)
    self.wait_for(lambda: self.state(program).running == 0)

  def test_zone_behind_network_cut_is_unreachable(self):
    program = self.start('cut')
    self.fleet.put_fault(program, cut=['127.0.2.'])
    with self.assertRaises(errors.EndpointUnreachableError):
      next(self.adapter.generate(make_attempt(program), make_request('a')))

  def test_unknown_model_is_refused(self):
    program = self.start('refuse')
    request = make_request('a')._replace(model='other')
    with self.assertRaises(errors.EndpointRefusedError):
      next(self.adapter.generate(make_attempt(program), request))

  def test_kv_cache_moves_between_engines(self):
    source = self.start('prefill', '--role', 'prefill')
    target = self.start('decode', '--role', 'decode')
    request = make_request(PROMPT, max_tokens=5)
    with self.assertRaises(errors.EndpointRefusedError):
      next(self.adapter.generate(make_attempt(target), request))
    kv = self.adapter.prefill(make_attempt(source), request)
    self.assertEqual(kv.tokens, 64)
    frames = list(self.adapter.generate(make_attempt(target), request, kv))
    expected = answers.expected_tokens('reader', '', PROMPT, 5)
    self.assertEqual([f.text for f in frames[:-1]], expected)
    self.assertEqual(frames[-1].cached_tokens, 63)
    missing_kv = kv._replace(kv_id='0')
    with self.assertRaises(errors.EndpointRefusedError):
      next(self.adapter.generate(make_attempt(target), request, missing_kv))


class TestGarbledStreams(EngineTestCase):

  def test_out_of_order_frames_are_reassembled(self):
    program = self.start('garble')
    self.fleet.put_fault(program, garble_streams=1)
    request = make_request('a length=21')
    answer = assembly.AnswerAssembler()
    answer.begin('r1/1')
    texts = []
    for frame in self.adapter.generate(make_attempt(program), request):
      texts += answer.accept(frame)
    expected = answers.expected_tokens('reader', '', request.prompt, 256)
    self.assertEqual(texts, expected)
    self.assertTrue(answer.is_complete)
    self.assertGreater(answer.dropped, 0)
    # The fault affects one stream only, and its connection is reused.
    frames = list(self.adapter.generate(make_attempt(program), request))
    self.assertEqual([f.text for f in frames[:-1]], expected)


class TestReports(EngineTestCase):

  def test_reads_load_and_cache_events(self):
    program = self.start(
        'events', '--event-lag-s', '0', '--event-gap-share', '0'
    )
    list(self.adapter.generate(make_attempt(program), make_request(PROMPT, 1)))
    blocks = answers.block_hashes('reader', '', PROMPT.split(), 16)
    expected = [
        engine.CacheEvent(number + 1, True, block)
        for number, block in enumerate(blocks)
        if number >= 1
    ]
    # The engine publishes events after the output of the same step.
    self.wait_for(lambda: len(self.read_events(program)) >= len(expected))
    self.assertEqual(self.read_events(program), expected)
    report = self.adapter.read_load(program.name, program.address)
    self.assertEqual(report.models, ('reader', 'reader+jp'))

  def read_events(self, program) -> list[engine.CacheEvent]:
    return self.adapter.read_cache_events(program.name, program.address, 1)

  def test_stopped_engine_is_unreachable(self):
    address = launcher.free_address('127.0.1.1')
    with self.assertRaises(errors.EndpointUnreachableError):
      self.adapter.read_load('away', address)


class TestOrders(EngineTestCase):

  def test_stale_fence_is_refused(self):
    program = self.start('fence')
    send = self.adapter.send_order
    send(program.address, make_order(program, 1, 7, records.ACTION_UNDRAIN))
    self.wait_for(lambda: not self.state(program).is_changing)
    with self.assertRaises(errors.StaleFenceError) as caught:
      send(program.address, make_order(program, 2, 6, records.ACTION_DRAIN))
    self.assertEqual(caught.exception.current_fence, 7)
    self.assertEqual(self.state(program).last_sequence, 1)

  def test_engine_without_fence_check_counts_conflict(self):
    program = self.start('nofence', checks_fence=False)
    for sequence, fence in ((1, 7), (2, 6)):
      order = make_order(program, sequence, fence, records.ACTION_UNDRAIN)
      self.adapter.send_order(program.address, order)
      self.wait_for(lambda: not self.state(program).is_changing)
    calls = self.fleet.call(program, 'GET', '/calls')
    self.assertEqual((calls['orders'], calls['conflicts']), (2, 1))

  def test_draining_lets_streams_finish_and_refuses_new_work(self):
    program = self.start('drain', *SLOW)
    request = make_request('a length=30')
    stream = self.adapter.generate(make_attempt(program), request)
    next(stream)
    order = make_order(program, 1, 1, records.ACTION_DRAIN)
    self.adapter.send_order(program.address, order)
    self.wait_for(lambda: self.state(program).is_draining)
    with self.assertRaises(errors.EndpointDrainingError):
      next(self.adapter.generate(make_attempt(program), request))
    self.assertTrue(list(stream)[-1].is_last)

  def test_role_change_aborts_running_requests(self):
    program = self.start('role', *SLOW, '--role-change-s', '0.2')
    stream = self.adapter.generate(
        make_attempt(program), make_request('a length=3000', 3000)
    )
    next(stream)
    order = make_order(program, 1, 1, records.ACTION_ROLE, records.ROLE_DECODE)
    self.adapter.send_order(program.address, order)
    with self.assertRaises(errors.EndpointFailedError):
      list(stream)
    self.wait_for(lambda: self.state(program).role == records.ROLE_DECODE)

  def test_crash_during_order(self):
    program = self.start('half', '--role-change-s', '0.2')
    self.fleet.put_fault(program, crash_in_order=True)
    order = make_order(program, 1, 1, records.ACTION_ROLE, records.ROLE_DECODE)
    self.adapter.send_order(program.address, order)
    self.assertNotEqual(self.fleet.wait('half'), 0)
    restarted = self.start('half')
    state = self.state(restarted)
    self.assertEqual((state.incarnation, state.last_sequence), (2, 0))

  def test_lost_connection_differs_from_refused_connection(self):
    program = self.start('lost')
    order = make_order(program, 1, 1, records.ACTION_DRAIN)
    proxy = self.enterContext(relay.Relay(program.address))
    proxy.cut()
    # The proxy accepts the connection and then closes it.
    with self.assertRaises(errors.EndpointFailedError):
      self.adapter.send_order(proxy.address, order)
    with self.assertRaises(errors.EndpointUnreachableError):
      self.adapter.send_order(launcher.free_address('127.0.1.1'), order)


if __name__ == '__main__':
  unittest.main()
