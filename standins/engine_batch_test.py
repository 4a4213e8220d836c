"""Tests for the batch scheduler of the simulated engine, without a clock."""

import unittest

import hypothesis
from hypothesis import strategies

from standins import answers
from standins import engine_batch
from standins import engine_memory

SETTINGS = engine_batch.Settings(
    pieces=100,
    piece_tokens=4,
    prefill_tokens_per_s=1000.0,
    decode_step_s=0.01,
    decode_seq_s=0.001,
    step_prefill_tokens=16,
)


def make_work(prompt, tokens, **fields):
  words = prompt.split()
  start = fields.get('start_index', 0)
  source = answers.TokenSource('m', '', prompt)
  words += [source.token(index).strip() for index in range(start)]
  values = {
      'attempt_id': prompt,
      'model': 'm',
      'adapter': '',
      'prompt': prompt,
      'prompt_tokens': len(prompt.split()),
      'blocks': answers.block_hashes('m', '', words, 4),
      'start_index': 0,
      'end_index': tokens,
      'finish_reason': answers.FINISH_STOP,
      'priority': 0,
      'imported_tokens': 0,
      'is_prefill_only': False,
  }
  return engine_batch.Work(**{**values, **fields})


def run(batch, max_steps=10_000):
  """Runs the batch until it is idle; returns the outputs of each step."""
  steps = []
  while plan := batch.plan():
    steps.append(batch.finish(plan))
    if len(steps) > max_steps:
      raise AssertionError(f'batch is not idle after {max_steps} steps')
  return steps


def texts(steps, sequence):
  return [
      output.text
      for outputs in steps
      for output in outputs
      if output.sequence is sequence and output.text
  ]


class TestBatch(unittest.TestCase):

  def setUp(self):
    self.batch = engine_batch.Batch(SETTINGS)

  def add(self, prompt, tokens, **fields):
    work = make_work(prompt, tokens, **fields)
    return self.batch.add(work, None)

  def step(self):
    plan = self.batch.plan()
    return plan, self.batch.finish(plan)

  def test_duration_of_a_step_adds_prefill_and_decode(self):
    self.add('a b c d e', 3)
    plan, outputs = self.step()
    self.assertAlmostEqual(plan.duration_s, 5 / 1000)
    self.assertEqual(len(outputs), 1)
    self.add('f g', 3)
    plan, outputs = self.step()
    self.assertAlmostEqual(plan.duration_s, 2 / 1000 + 0.01 + 0.001)
    self.assertEqual(len(outputs), 2)
    plan, _ = self.step()
    self.assertAlmostEqual(plan.duration_s, 0.01 + 2 * 0.001)

  def test_long_prompt_is_prefilled_in_several_steps_beside_decode(self):
    short = self.add('a b', 9)
    self.step()
    long = self.add(' '.join(answers.WORDS[:40]), 1)
    counts = []
    for _ in range(3):
      plan, outputs = self.step()
      counts.append(sum(tokens for _, tokens in plan.prefill))
      self.assertIn(short, [output.sequence for output in outputs])
    self.assertEqual(counts, [16, 16, 8])
    self.assertIn(long, [output.sequence for output in outputs])

  def test_higher_priority_is_prefilled_first(self):
    low_priority = self.add(' '.join(answers.WORDS[:16]), 1)
    high_priority = self.add(' '.join(answers.WORDS[16:32]), 1, priority=1)
    _, first = self.step()
    _, second = self.step()
    self.assertEqual([o.sequence for o in first], [high_priority])
    self.assertEqual([o.sequence for o in second], [low_priority])

  def test_cached_prefix_is_not_computed_again(self):
    prompt = 'a b c d e f g h i'
    first = self.add(prompt, 2)
    run(self.batch)
    self.assertEqual(first.cached_tokens, 0)
    repeated = self.add(prompt, 2)
    plan, _ = self.step()
    self.assertEqual((repeated.cached_tokens, plan.prefill[0][1]), (8, 1))
    other = self.add('a b c d x f g h i', 2)
    self.step()
    self.assertEqual(other.cached_tokens, 4)

  def test_imported_cache_is_not_computed(self):
    sequence = self.add('a b c d e f', 2, imported_tokens=6)
    plan, outputs = self.step()
    self.assertEqual(plan.prefill, [(sequence, 1)])
    self.assertEqual(outputs[0].index, 0)

  def test_resumed_request_continues_at_its_start_index(self):
    whole = answers.expected_tokens('m', '', 'a b length=6', 9)
    sequence = self.add('a b length=6', 6, start_index=4)
    plan = self.batch.plan()
    self.assertEqual(plan.prefill, [(sequence, 7)])
    steps = [self.batch.finish(plan), *run(self.batch)]
    self.assertEqual(texts(steps, sequence), whole[4:])

  def test_resumed_request_at_the_end_ends_without_a_token(self):
    self.add('a b', 4, start_index=4)
    _, outputs = self.step()
    self.assertEqual((outputs[0].text, outputs[0].is_last), ('', True))

  def test_prefill_only_request_ends_after_the_prompt_and_caches_it(self):
    prompt = 'a b c d e f g h'
    self.add(prompt, 0, is_prefill_only=True)
    _, outputs = self.step()
    self.assertTrue(outputs[0].is_last)
    repeated = self.add(prompt, 1)
    self.assertEqual(self.batch.plan().prefill, [(repeated, 1)])

  def test_memory_limits_the_batch(self):
    for number in range(5):
      prompt = ' '.join(f'w{number}.{i}' for i in range(99))
      self.add(prompt, 1)
    # Each request needs 25 of the 100 pieces, including its next token. The
    # prefill budget of a step suffices for one of them.
    plan = self.batch.plan()
    self.assertEqual(self.batch.memory.available(), 0)
    self.assertEqual(len(plan.prefill), 1)
    self.assertEqual(self.batch.waiting_tokens(), 5 * 99)
    run(self.batch)
    self.assertEqual(self.batch.memory.available(), 100)

  def test_higher_priority_preempts_lower_priority(self):
    low_priority = self.add(' '.join(answers.WORDS[:200]), 150)
    for _ in range(30):
      self.step()
    high_priority = self.add(' '.join(answers.WORDS[56:256]), 3, priority=1)
    self.step()
    # The preempted sequence has to compute its whole context again.
    self.assertEqual(
        self.batch.waiting_tokens(),
        high_priority.prefill_left() + 200 + low_priority.next_index,
    )
    steps = run(self.batch)
    order = [output.sequence for outputs in steps for output in outputs]
    self.assertLess(order.index(high_priority), order.index(low_priority))
    self.assertEqual(len(texts(steps, high_priority)), 3)

  def test_removed_request_frees_its_memory(self):
    sequence = self.add('a b c d e', 50)
    self.step()
    plan = self.batch.plan()
    self.batch.remove(sequence)
    self.assertEqual(self.batch.finish(plan), [])
    self.assertEqual(self.batch.memory.available(), 100)
    self.assertIsNone(self.batch.plan())

  def test_fits_rejects_a_request_larger_than_the_memory(self):
    self.assertTrue(self.batch.fits(make_work('a', 399)))
    self.assertFalse(self.batch.fits(make_work('a', 400)))


class TestRandomLoad(unittest.TestCase):

  @hypothesis.settings(
      derandomize=True, deadline=None, database=None, max_examples=60
  )
  @hypothesis.given(
      strategies.lists(
          strategies.tuples(
              strategies.integers(1, 60),
              strategies.integers(1, 60),
              strategies.integers(0, 2),
              strategies.booleans(),
          ),
          max_size=12,
      )
  )
  def test_every_request_gets_all_its_tokens_in_order(self, requests):
    """Memory is small, so many sequences are preempted and computed again."""
    batch = engine_batch.Batch(SETTINGS._replace(pieces=34))
    sequences = []
    for prompt_tokens, tokens, priority, is_shared in requests:
      number = 0 if is_shared else len(sequences)
      prompt = ' '.join(f'w{number}.{i}' for i in range(prompt_tokens))
      work = make_work(prompt, tokens, priority=priority)
      sequences.append(batch.add(work, None))
    steps = run(batch)
    for sequence in sequences:
      work = sequence.work
      source = answers.TokenSource('m', '', work.prompt)
      expected = [source.token(index) for index in range(work.end_index)]
      self.assertEqual(texts(steps, sequence), expected)
    self.assertEqual(batch.memory.available(), 34)


class TestMemory(unittest.TestCase):

  def test_evicts_the_least_recently_used_block_and_reports_it(self):
    memory = engine_memory.KvMemory(3)
    memory.allocate(3)
    for block in (1, 2, 3):
      memory.store(block)
    memory.release([1, 2, 3], 0)
    self.assertEqual(memory.acquire_cached_prefix([1]), 1)
    memory.take_changes()
    self.assertTrue(memory.allocate(1))
    self.assertEqual(memory.take_changes(), [engine_memory.Change(False, 3)])
    self.assertFalse(memory.allocate(2))
    self.assertEqual(memory.available(), 1)


if __name__ == '__main__':
  unittest.main()
