"""Rendezvous hashing: who of several hosts does a task.

Every host ranks the same names in the same way, so that they agree on who does
a task without a word, and a host that comes or goes moves only its own tasks.
"""

from collections.abc import Iterable

import xxhash


def rank(task: str, names: Iterable[str]) -> list[str]:
  """Ranks hosts for a task, the one to do it first.

  Args:
    task: Any stable name of the task.
    names: Names of the hosts, in any order.

  Returns:
    The names, best first.
  """
  return sorted(names, key=lambda name: (_weigh(task, name), name))


def _weigh(task: str, name: str) -> int:
  return xxhash.xxh3_64_intdigest(f'{task}\x1f{name}'.encode())
