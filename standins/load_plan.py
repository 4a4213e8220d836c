"""Plans which requests a load run sends, and when; the seed determines it all.

Arrivals are open-loop: they follow a Poisson process whose rate and mix change
from phase to phase, regardless of how the system under test responds.
"""

import random
from typing import NamedTuple

from standins import answers


class WorkClass(NamedTuple):
  """A class of requests with the same parameters.

  Attributes:
    name: Unique name.
    service: Name of the service, sent as `model`.
    model: Name of the model behind the service, to check the answers.
    adapter: Name of the adapter, empty for none.
    tenant: Name of the tenant.
    rank: Name of the rank.
    token: Bearer token, empty for none.
    deadline_s: Time limit for the whole answer, also sent with the request.
    first_token_s: Target for the time to the first token, 0 for none.
    prompt_tokens: Minimum and maximum length of a prompt.
    output_tokens: Minimum and maximum length of an answer.
    max_tokens: Limit on the length of the answer, sent with the request.
    prefix_tokens: Length of the prefix that all prompts of a group share.
    groups: Number of prompt groups, each with its own prefix.
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
  """A period with a constant arrival rate for each class.

  Attributes:
    duration_s: Length of the phase.
    rate_by_class: Requests per second, by name of the class.
  """

  duration_s: float
  rate_by_class: dict[str, float]


class Arrival(NamedTuple):
  """One request to send.

  Attributes:
    number: Index in the plan.
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
    classes: The classes that the phases refer to.
    phases: The phases, in order.
    seed: Random seed for times, lengths and words.

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
  """Returns a prompt: shared prefix, unique word, filler, answer length."""
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
