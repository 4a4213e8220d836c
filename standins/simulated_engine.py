"""Simulated engines with continuous batching, for `policy_simulation`.

They follow the rules of the stand-in engine (`standins/WIRE.md`), but have no
sockets and generate no text.
"""

from typing import NamedTuple

from mulberrypick.core import messages
from mulberrypick.core import records

MAX_STEP_PREFILL_TOKENS = 512
TOKENS_PER_PIECE = 16


class EngineSpec(NamedTuple):
  """Speed and memory of a simulated engine."""

  prefill_tokens_per_s: float = 4000.0
  decode_step_s: float = 0.02
  decode_seq_s: float = 0.001
  pieces: int = 2000
  restart_s: float = 3.0
  role_change_s: float = 3.0


DEFAULT_SPEC = EngineSpec()


class Job:
  """One attempt that runs on an engine."""

  __slots__ = (
      'start',
      'attempt',
      'owner',
      'prefill',
      'remaining_tokens',
      'generated_tokens',
      'pieces',
      'order',
  )

  def __init__(self, start, owner, request, length, order):
    self.start = start
    self.attempt = start.attempt
    self.owner = owner
    self.prefill = request.prompt_tokens + start.attempt.start_index
    self.remaining_tokens = length - start.attempt.start_index
    self.generated_tokens = 0
    tokens = request.prompt_tokens + length
    self.pieces = -(-tokens // TOKENS_PER_PIECE)
    self.order = (-start.attempt.priority, order)


class Engine:
  """Runs its jobs in batched steps, by the rules of the stand-in engine."""

  def __init__(self, simulation, name, zone, spec):
    self.simulation = simulation
    self.name = name
    self.zone = zone
    self.spec = spec
    self.incarnation = 1
    self.jobs = {}
    self.is_up = True
    self.is_stepping = False
    self.busy_s = 0.0
    self.role = records.ROLE_MIXED
    self.next_role = ''
    self.role_changes = 0

  def add(self, job):
    """Accepts a job, or ends it at once if the engine is down or draining."""
    if not self.is_up:
      self.simulation.on_attempt_end(job, messages.OUTCOME_UNREACHABLE)
      return
    if self.next_role:
      self.simulation.on_attempt_end(job, messages.OUTCOME_REFUSED)
      return
    self.jobs[job.attempt.attempt_id] = job
    self._start_step()

  def select_batch(self):
    """Returns the jobs that fit into memory, and the free KV cache pieces.

    Started jobs come before new ones, and higher priorities come first.
    """
    chosen = []
    free = self.spec.pieces
    started = [job for job in self.jobs.values() if job.generated_tokens]
    fresh = [job for job in self.jobs.values() if not job.generated_tokens]
    for job in sorted(started, key=lambda j: j.order) + sorted(
        fresh, key=lambda j: j.order
    ):
      if job.pieces <= free:
        free -= job.pieces
        chosen.append(job)
    return chosen, free

  def _start_step(self):
    if self.is_stepping or not self.jobs:
      return
    chosen, _ = self.select_batch()
    budget = MAX_STEP_PREFILL_TOKENS
    work = []
    for job in chosen:
      if job.prefill > 0 and budget > 0:
        tokens = min(budget, job.prefill)
        budget -= tokens
        work.append((job, tokens))
      elif job.prefill <= 0:
        work.append((job, 0))
    decoding = sum(1 for _, tokens in work if not tokens)
    step_s = (MAX_STEP_PREFILL_TOKENS - budget) / self.spec.prefill_tokens_per_s
    if decoding:
      step_s += self.spec.decode_step_s + self.spec.decode_seq_s * decoding
    self.is_stepping = True
    self.busy_s += step_s
    self.simulation.schedule(step_s, self._finish_step, work, self.incarnation)

  def _finish_step(self, work, incarnation):
    if incarnation != self.incarnation:
      return
    self.is_stepping = False
    for job, tokens in work:
      if job.attempt.attempt_id not in self.jobs:
        continue
      job.prefill -= tokens
      if job.prefill > 0:
        continue
      if job.attempt is job.start.prefill_attempt:
        self.simulation.on_prefill_done(job)
      else:
        self.simulation.on_token(job)
    self._start_step()
    self._change_role_if_drained()

  def start_role_change(self, role):
    """Drains the engine, then changes its role."""
    self.next_role = role
    self.role_changes += 1
    self._change_role_if_drained()

  def _change_role_if_drained(self):
    if self.next_role and not self.jobs and self.next_role != 'changing':
      role, self.next_role = self.next_role, 'changing'
      self.simulation.schedule(
          self.spec.role_change_s, self._finish_role_change, role
      )

  def _finish_role_change(self, role):
    self.role = role
    self.next_role = ''

  def crash(self):
    """Ends all jobs as failed, and restarts after `restart_s`."""
    self.is_up = False
    self.is_stepping = False
    self.incarnation += 1
    jobs = list(self.jobs.values())
    self.jobs = {}
    for job in jobs:
      self.simulation.on_attempt_end(job, messages.OUTCOME_FAILED)
    self.simulation.crashes += 1
    self.simulation.schedule(self.spec.restart_s, self._restart)

  def _restart(self):
    self.is_up = True
    self.simulation.send_hosts()

  def report(self):
    """Returns the load report as of now."""
    chosen, free = self.select_batch()
    running = sum(1 for job in chosen if job.prefill <= 0)
    waiting = sum(max(0, job.prefill) for job in self.jobs.values())
    step_s = self.spec.decode_step_s + self.spec.decode_seq_s * running
    return records.EngineReport(
        self.name,
        self.incarnation,
        self.role,
        ('m',),
        waiting,
        running,
        self.spec.pieces,
        free,
        bool(self.next_role),
        self.spec.prefill_tokens_per_s,
        step_s,
        0.0,
    )
