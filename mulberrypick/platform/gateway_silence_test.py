"""Tests of a gateway whose endpoints fall silent for a second and go on."""

import asyncio
import itertools
import os
import random
import re
import signal
import unittest

from mulberrypick.core import shared_retry_budget
from mulberrypick.platform import gateway_test
from standins import gateway_cluster
from standins import silence
from standins import unframed_stream

POINT = silence.SilencePoint
SILENCE_S = 1.1
# Longer than streams that move in turns need to spend the retry budget.
LONG_SILENCE_S = 3.0
EVENTS = 8
# Requests sent at a time.
CALLS = 12
HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '10000',
    'X-Mulberrypick-Token-Usage': '220,70',
    'X-Mulberrypick-Prefix-Hash': 'aa:80,bb:140',
}
TIMEOUT_MS = 10_000
# Time within which a stream that goes on elsewhere must have ended where it
# ran before.
MAX_OVERLAP_S = 0.4
CONFIG_INTERVAL_S = 0.05
CONFIG_CHANGES = 40


def make_config(version: int) -> dict[str, object]:
  """Returns a configuration in which versions differ in all that may change.

  Route `ask` goes every other time, and routes that no caller uses come and go.
  """
  config = gateway_cluster.make_config(version)
  for route in config['routes']:
    route |= {'timeoutMs': TIMEOUT_MS + version % 7}
  if version % 2:
    config['routes'] = [r for r in config['routes'] if r['name'] != 'ask']
  config['limits'] |= {
      'headerTimeoutMs': 400 + 100 * (version % 3),
      'idleTimeoutMs': 1000 + 500 * (version % 5),
  }
  config['services'].append(
      {'name': f'new-{version}', 'healthPath': '/h', 'maxConnections': 9}
  )
  return config


class SilenceTestCase(gateway_test.GatewayTestCase):
  """Runs one gateway whose routes have long time limits."""

  async def asyncSetUp(self):
    await super().asyncSetUp()
    self.cluster.update_behaviour(
        'engine', events=EVENTS, event_interval_s=0.02
    )
    await self.put_config(2)

  async def put_config(self, version: int) -> None:
    self.cluster.store.put('config', 'main', make_config(version))
    await self.wait_until(lambda: self.gateway.state.config.version >= version)

  def replicas(self, *stages: str):
    return [
        r for r in self.cluster.replica_by_name.values() if r.stage in stages
    ]

  def plan(self, point: silence.SilencePoint, *stages: str) -> None:
    """Lets each replica of some stages fall silent at its next request."""
    for replica in self.replicas(*stages):
      replica.silence.plan(point, SILENCE_S)

  def spend_budget(self) -> None:
    """Uses up the retry budget of all services for some seconds."""
    state = self.gateway.state
    for service in ('desk', 'engine'):
      while state.take_retry(service, asyncio.get_running_loop().time()):
        pass

  async def remove(self, *names: str) -> None:
    for name in names:
      self.cluster.store.remove('servers', name)
    await self.wait_until(
        lambda: not any(map(self.gateway.state.endpoints.find, names))
    )

  async def call_many(self, path: str, count: int = CALLS, **options):
    options.setdefault('headers', HEADERS)
    calls = []
    for number in range(count):
      calls.append(self.call(path, f'r{number}', **options))
    return await asyncio.gather(*calls)

  def assert_streams_whole(self, answers) -> None:
    for answer in answers:
      self.assertEqual(answer.status, 200, answer.body)
      self.assertEqual(event_ids(answer), list(range(1, EVENTS + 1)))
      self.assertTrue(answer.is_whole)

  def assert_silent(self, *stages: str) -> None:
    """Checks that replicas of some stages were silent."""
    self.assertTrue(any(r.silence.count for r in self.replicas(*stages)))

  def assert_no_overlap(self, answers: int) -> None:
    """Checks that no request ran at two replicas at a time."""
    for number in range(answers):
      spans = []
      for replica in self.cluster.replica_by_name.values():
        if f'r{number}' in replica.run_spans:
          spans.append(replica.run_spans[f'r{number}'])
      spans.sort()
      for earlier, later in itertools.pairwise(spans):
        self.assertLess(earlier[1], later[0] + MAX_OVERLAP_S)


def event_ids(answer: gateway_cluster.Answer) -> list[int]:
  """Returns the ids of the events of an answer, in order."""
  return [int(n) for n in re.findall(rb'^id: (\d+)$', answer.body, re.M)]


class StreamTest(SilenceTestCase):

  async def test_silence_in_stream_without_retry_budget(self):
    # Guards against ending a run before another endpoint is secured.
    self.spend_budget()
    self.plan(POINT.STREAM, 'decode')
    self.assert_streams_whole(await self.call_many('/ask/x'))
    self.assert_silent('decode')

  async def test_silence_in_stream_with_retry_budget(self):
    self.plan(POINT.STREAM, 'decode')
    self.assert_streams_whole(await self.call_many('/ask/x'))
    self.assert_silent('decode')
    self.assert_no_overlap(CALLS)

  async def test_silence_in_stream_at_the_only_engine(self):
    await self.remove('writer-2')
    self.plan(POINT.STREAM, 'decode')
    self.assert_streams_whole(await self.call_many('/ask/x'))
    self.assert_silent('decode')

  async def test_silence_in_stream_if_the_other_engine_is_unreachable(self):
    # Guards against leaving a silent engine for one that is down.
    streams = asyncio.gather(
        *(self.call('/ask/x', f'r{n}', headers=HEADERS) for n in range(CALLS))
    )
    writers = self.replicas('decode')
    await self.wait_until(lambda: any(w.run_spans for w in writers))
    used = max(writers, key=lambda w: len(w.run_spans))
    self.plan(POINT.STREAM, 'decode')
    for replica in writers:
      if replica is not used:
        replica.silence.plan(POINT.HEAD, 0.0)
        replica.stop()
    answers = await streams
    whole = [a for n, a in enumerate(answers) if f'r{n}' in used.run_spans]
    self.assert_streams_whole(whole)

  async def check_silence_if_the_other_engine_is_full(
      self, silence_s: float
  ) -> None:
    """Checks that streams of a silent engine go on beside a full one."""
    used, other = self.replicas('decode')
    await self.remove(other.name)
    used.silence.plan(POINT.STREAM, silence_s)
    streams = asyncio.gather(
        *(self.call('/ask/x', f'r{n}', headers=HEADERS) for n in range(CALLS))
    )
    await self.wait_until(lambda: len(used.run_spans) == CALLS)
    other.behaviour = other.behaviour._replace(mode='full')
    other.born += 1
    self.cluster.store.put('servers', other.name, other.entry())
    self.assert_streams_whole(await streams)
    self.assert_silent('decode')

  async def test_silence_in_stream_if_the_other_engine_is_full(self):
    # Guards against a cut after the engine that a stream was moved to refuses.
    await self.check_silence_if_the_other_engine_is_full(SILENCE_S)

  async def test_long_silence_if_the_other_engine_is_full(self):
    # Guards against retries that are all spent at an engine that refuses.
    await self.check_silence_if_the_other_engine_is_full(LONG_SILENCE_S)

  async def test_silence_in_stream_beside_changes_of_the_configuration(self):
    self.spend_budget()
    self.plan(POINT.STREAM, 'decode')
    streams = asyncio.gather(
        *(self.call('/ask/x', f'r{n}', headers=HEADERS) for n in range(CALLS))
    )
    await self.wait_until(
        lambda: sum(len(w.run_spans) for w in self.replicas('decode')) == CALLS
    )
    for version in range(3, 3 + CONFIG_CHANGES):
      self.cluster.store.put('config', 'main', make_config(version))
      await asyncio.sleep(CONFIG_INTERVAL_S)
    self.assert_streams_whole(await streams)
    self.assert_silent('decode')

  async def test_silence_in_stream_beside_a_shutdown(self):
    self.spend_budget()
    self.plan(POINT.STREAM, 'decode')
    streams = asyncio.gather(
        *(self.call('/ask/x', f'r{n}', headers=HEADERS) for n in range(CALLS))
    )
    await self.wait_until(
        lambda: any(w.silence.count for w in self.replicas('decode'))
    )
    os.kill(os.getpid(), signal.SIGTERM)
    self.assert_streams_whole(await streams)
    async with asyncio.timeout(gateway_test.WAIT_TIMEOUT_S):
      await self.running

  async def test_silence_in_stream_that_can_not_be_resumed(self):
    self.plan(POINT.STREAM, 'decode')
    self.assert_streams_whole(await self.call_many('/read/x'))
    self.assert_silent('decode')

  async def test_silence_before_head_without_retry_budget(self):
    self.spend_budget()
    self.plan(POINT.HEAD, 'decode')
    self.assert_streams_whole(await self.call_many('/ask/x'))
    self.assert_silent('decode')

  async def test_silence_before_head_with_retry_budget(self):
    self.plan(POINT.HEAD, 'decode')
    self.assert_streams_whole(await self.call_many('/ask/x'))
    self.assert_silent('decode')
    self.assert_no_overlap(CALLS)

  async def test_silence_of_all_engines_at_once(self):
    for replica in self.replicas('prefill', 'decode'):
      replica.silence.begin(SILENCE_S)
    began = [self.call_many('/ask/x')]
    # Requests come before and after the endpoints are seen to be silent.
    await asyncio.sleep(SILENCE_S / 2)
    began.append(self.call_many('/read/x'))
    for answers in await asyncio.gather(*began):
      self.assert_streams_whole(answers)

  async def test_silence_during_prefill(self):
    long_prompt = HEADERS | {
        'X-Mulberrypick-Token-Usage': '9000,100',
        'X-Mulberrypick-Prefix-Hash': 'aa:5000,bb:4000',
    }
    # Answers show how fast the engines are: until then, a silent one might as
    # well be a slow one that is late for all of them.
    for path in ('/ask/x', '/read/x'):
      self.assert_streams_whole(await self.call_many(path, headers=long_prompt))
    self.spend_budget()
    self.plan(POINT.PREFILL, 'prefill')
    for path in ('/ask/x', '/read/x'):
      answers = await self.call_many(path, headers=long_prompt)
      self.assert_streams_whole(answers)
    self.assert_silent('prefill')

  async def test_silent_engine_is_not_taken_for_crashed(self):
    # Guards against refusing a sound request because its streams stalled.
    for number in range(3):
      self.plan(POINT.STREAM, 'decode')
      answer = await self.call('/ask/x', f'r{number}', headers=HEADERS)
      self.assert_streams_whole([answer])
    self.assertFalse(list(self.gateway.state.quarantine.all_crashes()))

  async def test_retry_budget_is_not_spent_by_waiting(self):
    await self.remove('writer-2')
    self.plan(POINT.STREAM, 'decode')
    await self.call_many('/ask/x')
    state, taken = self.gateway.state, 0
    while state.take_retry('engine', asyncio.get_running_loop().time()):
      taken += 1
    self.spend_budget()
    # Ratio and slack of `GatewayCluster.make_host`, of which a part is used.
    fraction = shared_retry_budget.MAX_USED_FRACTION
    self.assertEqual(taken, int(fraction * (0.2 * CALLS + 50.0)))


class RandomSilenceTest(SilenceTestCase):
  """Silences at random moments, the configuration changing beside."""

  async def check_seed(self, seed: int) -> None:
    rng = random.Random(seed)
    for number in (3, 4):
      await self.cluster.add(f'writer-{number}', 'engine', 'decode')
    self.cluster.update_behaviour('engine', events=EVENTS)
    calls = []
    for number in range(120):
      path = rng.choice(('/ask/x', '/ask/x', '/read/x', '/safe/x', '/unsafe/x'))
      calls.append(
          asyncio.create_task(self.call(path, f'r{number}', headers=HEADERS))
      )
      if number % 10 == 0:
        self.cluster.store.put('config', 'main', make_config(4 + number))
        for replica in self.cluster.replica_by_name.values():
          if not replica.silence.is_silent and rng.random() < 0.3:
            replica.silence.begin(rng.uniform(0.2, 1.3))
      await asyncio.sleep(0.03)
    for number, answer in enumerate(await asyncio.gather(*calls)):
      self.assertEqual((answer.status, answer.is_whole), (200, True), number)
      self.assertIn(event_ids(answer), ([], list(range(1, EVENTS + 1))))
    self.assert_no_overlap(len(calls))

  async def test_with_retry_budget(self):
    await self.check_seed(1)

  async def test_without_retry_budget(self):
    self.spend_budget()
    await self.check_seed(2)


class DeadEngineTest(SilenceTestCase):
  """Engines that send nothing any more, which a host can't know."""

  async def test_stream_goes_on_elsewhere(self):
    dead, _ = self.replicas('decode')
    dead.behaviour = dead.behaviour._replace(mode='still')
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    self.assert_streams_whole(await self.call_many('/ask/x'))
    self.assertLess(loop.time() - began_at, SILENCE_S)

  async def test_stream_goes_on_elsewhere_once_there_is_an_engine(self):
    await self.remove('writer-2')
    self.cluster.update_behaviour('engine', mode='still')
    stream = asyncio.create_task(self.call('/ask/x', 'r0', headers=HEADERS))
    writer = self.cluster.replica_by_name['writer-1']
    await self.wait_until(lambda: writer.run_spans)
    await asyncio.sleep(SILENCE_S)
    self.assertFalse(stream.done())
    await self.cluster.add('writer-3', 'engine', 'decode')
    fresh = self.cluster.replica_by_name['writer-3']
    fresh.behaviour = fresh.behaviour._replace(events=EVENTS)
    self.assert_streams_whole([await stream])

  async def test_stream_ends_at_its_time_limit(self):
    self.spend_budget()
    self.cluster.update_behaviour('engine', mode='still')
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    limited = HEADERS | {'X-Mulberrypick-Deadline-Ms': '2000'}
    answer = await self.call('/ask/x', 'r0', headers=limited)
    self.assertFalse(answer.is_whole)
    self.assertLess(loop.time() - began_at, 2.5)


class PlainCallTest(SilenceTestCase):

  async def test_silence_before_head_without_retry_budget(self):
    self.spend_budget()
    for path in ('/safe/x', '/unsafe/x'):
      self.plan(POINT.HEAD, '')
      for answer in await self.call_many(path, 6):
        self.assertEqual(answer.status, 200, (path, answer))
    self.assert_silent('')

  async def test_silence_before_head_with_retry_budget(self):
    self.plan(POINT.HEAD, '')
    for answer in await self.call_many('/safe/x', 6):
      self.assertEqual(answer.status, 200)
    self.assert_silent('')
    self.assert_no_overlap(6)

  async def test_silence_beside_changes_of_the_configuration(self):
    self.spend_budget()
    self.plan(POINT.HEAD, '')
    calls = [
        asyncio.create_task(self.call_many(path, 6))
        for path in ('/safe/x', '/unsafe/x')
    ]
    await self.wait_until(lambda: any(r.run_spans for r in self.replicas('')))
    for version in range(3, 3 + CONFIG_CHANGES):
      self.cluster.store.put('config', 'main', make_config(version))
      await asyncio.sleep(CONFIG_INTERVAL_S)
    for answers in await asyncio.gather(*calls):
      for answer in answers:
        self.assertEqual(answer.status, 200)


class UnframedAnswerTest(SilenceTestCase):
  """Plain answers with neither a length nor chunks."""

  async def test_answer_that_is_reset_is_not_passed_on(self):
    self.cluster.update_behaviour('desk', mode=unframed_stream.RESET)
    for path, runs in (('/unsafe/x', 1), ('/safe/x', 2)):
      answer = await self.call(path, path, headers=HEADERS)
      self.assertEqual(answer.status, 502)
      self.assertEqual(self.cluster.runs(path), runs)


class UnframedStreamTest(SilenceTestCase):
  """Streams with neither a length nor chunks."""

  async def test_complete_stream(self):
    self.cluster.update_behaviour('engine', mode=unframed_stream.COMPLETE)
    for path in ('/ask/x', '/read/x'):
      self.assert_streams_whole(await self.call_many(path))

  async def test_silence_in_stream(self):
    self.spend_budget()
    self.cluster.update_behaviour('engine', mode=unframed_stream.COMPLETE)
    self.plan(POINT.STREAM, 'decode')
    self.assert_streams_whole(await self.call_many('/ask/x'))

  async def test_broken_stream_is_not_passed_on_as_complete(self):
    # Guards against an end that the caller can't tell from a regular one.
    for mode in (unframed_stream.RESET, unframed_stream.CUT):
      self.cluster.update_behaviour('engine', mode=mode)
      answer = await self.call('/read/x', mode, headers=HEADERS)
      self.assertEqual(answer.status, 200)
      self.assertFalse(answer.is_whole, mode)
      self.assertEqual(event_ids(answer), [1, 2], mode)

  async def test_broken_stream_goes_on_elsewhere(self):
    for mode in (unframed_stream.RESET, unframed_stream.CUT):
      broken, _ = self.replicas('decode')
      broken.behaviour = broken.behaviour._replace(mode=mode)
      self.assert_streams_whole(await self.call_many('/ask/x'))


if __name__ == '__main__':
  unittest.main()
