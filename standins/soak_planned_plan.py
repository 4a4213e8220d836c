"""Draws planned work in pairs, and the callers of a run with nothing else.

A gateway is stopped with SIGTERM while the operator does one or two other
things. No fault is injected, so that no rule excuses what callers see.
"""

import enum
import random
from typing import NamedTuple

GATEWAYS = ('host-1', 'host-2', 'host-3')
# Time of the first SIGTERM after the load began (s).
STOP_AT_S = 2.5
# Time between the stops of two gateways (s).
SECOND_STOP_S = 0.6
# Grace periods (s): usual ones and long ones, and the share of each of them.
USUAL_GRACE_S = (2, 8)
LONG_GRACE_S = (9, 30)
SHORTEST_GRACE_S = 1
USUAL_SHARE = 0.8
LONG_SHARE = 0.1
# Other work begins so long before the first SIGTERM at most (s).
MAX_LEAD_S = 2.0
CHANGES = ('add', 'remove', 'move', 'timeout')
CONNECTIONS = 36
# Connections to each gateway that is not stopped.
OTHER_CONNECTIONS = 6


class Work(enum.StrEnum):
  """What the operator does beside the stop of a gateway."""

  CONFIG = 'config'
  RELOAD = 'reload'
  RELEASE = 'release'
  AGAIN = 'again'
  SECOND = 'second'
  TURN = 'turn'


class Way(enum.StrEnum):
  """How a caller sends its requests, or reads the responses.

  `FOLLOWED` sends a next request while it reads slowly. `STALLED` reads nothing
  of a body for a while.
  """

  WHOLE = 'whole'
  CHUNKED = 'chunked'
  LATE = 'late'
  PIPELINED = 'pipelined'
  SLOW = 'slow'
  FOLLOWED = 'followed'
  STALLED = 'stalled'
  HALF = 'half'


class Step(NamedTuple):
  """One thing that the operator does.

  Attributes:
    at_s: When, in seconds after the first SIGTERM.
    work: What.
    change: How the configuration changes; empty for other work.
  """

  at_s: float
  work: Work
  change: str = ''


class Connection(NamedTuple):
  """A connection that a caller opens and keeps.

  Attributes:
    gateway: Name of the gateway.
    way: How its requests are sent.
    open_at_s: When it is opened, in seconds after the load began.
    seed: Seed of what is sent.
  """

  gateway: str
  way: Way
  open_at_s: float
  seed: str


class Plan(NamedTuple):
  """A run.

  Attributes:
    target: The gateway that is stopped first.
    grace_s: Time between SIGTERM and SIGKILL.
    steps: The other work, earliest first.
    connections: The connections of the callers.
  """

  target: str
  grace_s: int
  steps: list[Step]
  connections: list[Connection]

  def stopped(self) -> tuple[str, ...]:
    """Returns the gateways that get SIGTERM, in order."""
    works = [step.work for step in self.steps]
    first = GATEWAYS.index(self.target)
    in_turn = GATEWAYS[first:] + GATEWAYS[:first]
    if Work.TURN in works:
      return in_turn
    return in_turn[: 2 if Work.SECOND in works else 1]


def plan(seed: int) -> Plan:
  """Draws a run from a seed."""
  rng = random.Random(f'planned work of {seed}')
  target = rng.choice(GATEWAYS)
  share = rng.random()
  if share < USUAL_SHARE:
    grace_s = rng.randint(*USUAL_GRACE_S)
  elif share < USUAL_SHARE + LONG_SHARE:
    grace_s = rng.randint(*LONG_GRACE_S)
  else:
    grace_s = SHORTEST_GRACE_S
  works = list(Work)
  if grace_s > USUAL_GRACE_S[1]:
    # Three stops in turn would take minutes.
    works.remove(Work.TURN)
  steps = []
  chosen = rng.sample(works, rng.randint(1, 2))
  if {Work.TURN, Work.SECOND} == set(chosen):
    # A gateway is stopped once.
    chosen = [Work.TURN]
  for work in chosen:
    steps.append(_plan_step(rng, work, grace_s))
  drawn = Plan(target, grace_s, sorted(steps), [])
  return drawn._replace(connections=_plan_connections(rng, seed, drawn))


def _plan_step(rng: random.Random, work: Work, grace_s: int) -> Step:
  if work is Work.SECOND:
    return Step(SECOND_STOP_S, work)
  if work is Work.TURN:
    return Step(0.0, work)
  first_s = 0.1 if work is Work.AGAIN else -MAX_LEAD_S
  at_s = round(rng.uniform(first_s, 0.8 * grace_s), 2)
  change = rng.choice(CHANGES) if work is Work.CONFIG else ''
  return Step(at_s, work, change)


def _plan_connections(
    rng: random.Random, seed: int, drawn: Plan
) -> list[Connection]:
  stopped = drawn.stopped()
  connections = []
  for name in GATEWAYS:
    count = CONNECTIONS // len(stopped)
    if name not in stopped:
      count = OTHER_CONNECTIONS
    for number in range(count):
      open_at_s = round(rng.uniform(0.0, STOP_AT_S - 0.2), 2)
      connections.append(
          Connection(
              name,
              rng.choice(tuple(Way)),
              open_at_s,
              f'{seed}-{name}-{number}',
          )
      )
  return connections
