"""What a load run sends, and when: pure, and the same for the same seed.

Arrivals are open-loop: they follow a Poisson process whose rate and mix change
from phase to phase, whatever the system under load answers.
"""

import random
from typing import NamedTuple

from standins import answers


class WorkClass(NamedTuple):
  """One kind of request.

  Attributes:
    name: Unique name.
    service: Name of the service, sent as `model`.
    model: Name of the model behind it, for the check of the answer.
    adapter: Name of the adapter, empty for none.
    tenant: Name of the tenant.
    rank: Name of the rank.
    token: Bearer token, empty for none.
    deadline_s: Time to the whole answer, also sent to the system.
    first_token_s: Target of the time to the first token, 0 for none.
    prompt_tokens: Least and most tokens of a prompt.
    output_tokens: Least and most tokens of an answer.
    max_tokens: Bound sent with the request.
    prefix_tokens: Tokens at the start that all prompts of a group share.
    groups: Groups of prompts with a prefix of their own.
  """

  name: str
  service: str
  model: str
  adapter: str = ''
  tenant: str = ''
  rank: str = ''
  token: str = ''
  deadline_s: float = 30.0
  first_token_s: float = 0.0
  prompt_tokens: tuple[int, int] = (20, 60)
  output_tokens: tuple[int, int] = (10, 60)
  max_tokens: int = 256
  prefix_tokens: int = 0
  groups: int = 1


class Phase(NamedTuple):
  """A stretch of time with a rate of its own for each class.

  Attributes:
    duration_s: How long it lasts.
    rate_by_class: Requests a second by name of the class.
  """

  duration_s: float
  rate_by_class: dict[str, float]


class Arrival(NamedTuple):
  """One request to send.

  Attributes:
    number: Its place in the plan.
    at_s: When to send it, in seconds after the start.
    work_class: Its class.
    prompt: The prompt.
  """

  number: int
  at_s: float
  work_class: WorkClass
  prompt: str


def plan_arrivals(
    classes: list[WorkClass], phases: list[Phase], seed: int
) -> list[Arrival]:
  """Draws all arrivals of a run.

  Args:
    classes: The classes that the phases name.
    phases: The phases, in order.
    seed: Seed of times, lengths and words.

  Returns:
    The arrivals, earliest first.
  """
  rng = random.Random(seed)
  drawn = []
  for work_class in classes:
    for at_s in _draw_times(work_class.name, phases, rng):
      drawn.append((at_s, work_class))
  drawn.sort(key=lambda pair: pair[0])
  return [
      Arrival(
          number,
          at_s,
          work_class,
          make_prompt(work_class, f'request-{seed}-{number}', rng),
      )
      for number, (at_s, work_class) in enumerate(drawn)
  ]


def make_prompt(work_class: WorkClass, unique: str, rng: random.Random) -> str:
  """Makes a prompt: shared prefix, a unique word, filler and the length."""
  length = rng.randint(*work_class.output_tokens)
  tokens = rng.randint(*work_class.prompt_tokens)
  group = rng.randrange(work_class.groups)
  prefix = _prefix_words(work_class, group)
  filler = max(0, tokens - len(prefix) - 2)
  words = [*prefix, unique, *rng.choices(answers.WORDS, k=filler)]
  return ' '.join([*words, f'length={length}'])


def _prefix_words(work_class: WorkClass, group: int) -> list[str]:
  rng = random.Random(f'{work_class.name}/{group}')
  return rng.choices(answers.WORDS, k=work_class.prefix_tokens)


def _draw_times(
    name: str, phases: list[Phase], rng: random.Random
) -> list[float]:
  times = []
  start_s = 0.0
  for phase in phases:
    end_s = start_s + phase.duration_s
    rate = phase.rate_by_class.get(name, 0.0)
    at_s = start_s
    while rate > 0:
      at_s += rng.expovariate(rate)
      if at_s >= end_s:
        break
      times.append(at_s)
    start_s = end_s
  return times
