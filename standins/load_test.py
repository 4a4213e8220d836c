"""Tests of the load tool, against a fake entry with injected faults."""

import collections
import itertools
import tempfile
import unittest

from click import testing

from standins import answers
from standins import load
from standins import load_client
from standins import load_plan
from standins import load_summary
from standins import wire

ASK = load_plan.WorkClass(
    'ask',
    'assistant',
    'm',
    tenant='mill',
    rank='urgent',
    token='secret',
    output_tokens=(3, 9),
)


class FakeEntry(wire.App):
  """Answers completions correctly, or with the fault that is set."""

  def __init__(self):
    super().__init__()
    self.fault = ''
    self.headers = {}

  def set_fault(self, name, value):
    raise ValueError(name)

  def handle(self, call):
    self.headers = call.headers
    if self.fault == 'refuse':
      error = {'type': 'overloaded', 'run': 'not_run'}
      return wire.json_answer({'error': error}, 429, (('Retry-After', '3'),))
    body = wire.msgspec.json.decode(call.body)
    return wire.Answer(200, self.stream(call, body), wire.EVENT_STREAM)

  def stream(self, call, body):
    tokens = answers.expected_tokens(
        'm', '', body['prompt'], body['max_tokens']
    )
    if self.fault == 'short':
      tokens.pop()
    if self.fault == 'wrong':
      tokens[1] = 'wrong '
    for token in tokens[:2]:
      yield event({'text': token, 'finish_reason': None})
    if self.fault == 'break':
      call.drop()
      return
    if self.fault == 'error':
      yield b'data: {"error":{"type":"unavailable","run":"partial"}}\n\n'
      return
    for token in tokens[2:]:
      yield event({'text': token, 'finish_reason': None})
    yield event({'text': '', 'finish_reason': 'stop'}) + b'data: [DONE]\n\n'
    if self.fault == 'unended':
      call.drop()


def event(choice):
  return b'data: %b\n\n' % wire.msgspec.json.encode({'choices': [choice]})


def plan(count=1, **fields):
  work_class = ASK._replace(**fields)
  phases = [load_plan.Phase(1.0, {'ask': float(count)})]
  for seed in itertools.count():
    arrivals = load_plan.plan_arrivals([work_class], phases, seed)
    if len(arrivals) >= count:
      return [a._replace(at_s=0.0) for a in arrivals[:count]]
  return []


class TestRuns(unittest.TestCase):

  def setUp(self):
    self.entry = FakeEntry()
    server = wire.make_server(self.entry, '127.0.0.1', 0, 20)
    self.url = f'http://{wire.start_in_thread(server)}'
    self.addCleanup(server.stop)

  def run_load(self, count=1, **fields):
    client = load_client.LoadClient([self.url])
    return load.run_load(client, plan(count, **fields))

  def test_each_outcome_is_distinguished(self):
    for fault, outcome, kind in (
        ('', 'whole', ''),
        ('refuse', 'refused', 'overloaded'),
        ('wrong', 'wrong', ''),
        ('short', 'wrong', ''),
        ('break', 'cut', 'ProtocolError'),
        ('unended', 'cut', 'ProtocolError'),
        ('error', 'cut', 'unavailable'),
    ):
      self.entry.fault = fault
      result = self.run_load()[0]
      with self.subTest(fault):
        self.assertEqual((result.outcome, result.kind), (outcome, kind))
        self.assertEqual(result.is_in_time, outcome == 'whole')

  def test_a_refusal_reports_retry_after(self):
    self.entry.fault = 'refuse'
    result = self.run_load()[0]
    self.assertEqual(
        (result.status, result.retry_after_s, result.run), (429, 3.0, 'not_run')
    )

  def test_sends_tenant_rank_deadline_and_token(self):
    self.run_load(deadline_s=2.5)
    for name, value in (
        ('HTTP_X_MULBERRY_TENANT', 'mill'),
        ('HTTP_X_MULBERRY_RANK', 'urgent'),
        ('HTTP_X_MULBERRY_DEADLINE_MS', '2500'),
        ('HTTP_AUTHORIZATION', 'Bearer secret'),
    ):
      self.assertEqual(self.entry.headers[name], value)

  def test_an_unreachable_entry_is_skipped(self):
    client = load_client.LoadClient(['http://127.0.0.1:1', self.url])
    results = load.run_load(client, plan(4))
    self.assertEqual({r.outcome for r in results}, {'whole'})
    unreachable = load_client.LoadClient(['http://127.0.0.1:1'])
    results = load.run_load(unreachable, plan(1))
    self.assertEqual(results[0].outcome, 'failed')

  def test_the_command_prints_a_table(self):
    with tempfile.NamedTemporaryFile('w') as file:
      file.write(
          '{"classes": [{"name": "ask", "service": "s", "model": "m",'
          ' "rank": "urgent"}],'
          ' "phases": [{"duration_s": 0.2, "rate_by_class": {"ask": 50}}]}'
      )
      file.flush()
      arguments = ['--url', self.url, '--plan', file.name]
      result = testing.CliRunner().invoke(load.main, arguments)
    self.assertEqual(result.exit_code, 0, result.output)
    self.assertRegex(result.output, r'urgent +(\d+) +\1 +0 +0 +0 +0')


class TestPlan(unittest.TestCase):

  def test_the_same_seed_gives_the_same_plan(self):
    phases = [
        load_plan.Phase(10, {'ask': 20}),
        load_plan.Phase(10, {'ask': 5, 'read': 20}),
    ]
    classes = [ASK, ASK._replace(name='read', prompt_tokens=(500, 600))]
    first = load_plan.plan_arrivals(classes, phases, 7)
    self.assertEqual(first, load_plan.plan_arrivals(classes, phases, 7))
    self.assertNotEqual(first, load_plan.plan_arrivals(classes, phases, 8))
    self.assertEqual([a.at_s for a in first], sorted(a.at_s for a in first))
    counts = collections.Counter(
        (a.work_class.name, a.at_s >= 10) for a in first
    )
    self.assertNotIn(('read', False), counts)
    self.assertGreater(counts['ask', False], counts['ask', True])

  def test_prompts_have_their_lengths_and_shared_prefix(self):
    arrivals = plan(5, prompt_tokens=(50, 50), prefix_tokens=40)
    words = [arrival.prompt.split() for arrival in arrivals]
    self.assertEqual({len(w) for w in words}, {50})
    self.assertEqual(len({tuple(w[:40]) for w in words}), 1)
    self.assertEqual(len({w[40] for w in words}), 5)

  def test_a_malformed_plan_raises_plan_error(self):
    for text in (b'{', b'{}', b'{"classes": [{"x": 1}], "phases": []}'):
      with self.assertRaises(load.PlanError):
        load.read_plan(text)


class TestSummary(unittest.TestCase):

  def test_counts_by_tenant(self):
    whole = load_summary.Result(
        1,
        'ask',
        'mill',
        'urgent',
        0,
        0,
        'whole',
        200,
        '',
        '',
        0,
        0.1,
        0.3,
        (0.1, 0.1),
        3,
        True,
    )
    refused = whole._replace(
        outcome='refused',
        kind='overloaded',
        first_token_s=0,
        gaps_s=(),
        tokens=0,
        is_in_time=False,
        total_s=0.01,
    )
    other = whole._replace(tenant='circle')
    by_tenant = load_summary.summarize_by(
        'tenant', [whole, whole, refused, other], 2.0
    )
    mill = by_tenant['mill']
    self.assertEqual(mill.count_by_outcome, {'whole': 2, 'refused': 1})
    self.assertEqual((mill.goodput_per_s, mill.goodput_tokens_per_s), (1, 3))
    self.assertAlmostEqual(mill.first_token.p95_s, 0.1, places=3)
    self.assertAlmostEqual(mill.refusal.p50_s, 0.01, places=3)
    self.assertEqual(by_tenant['circle'].requests, 1)


if __name__ == '__main__':
  unittest.main()
