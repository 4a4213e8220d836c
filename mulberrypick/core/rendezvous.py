"""Rendezvous hashing: assigns tasks to hosts.

Every host ranks the same names in the same way, so that all agree on the host
of a task without coordination. Adding or removing a host moves only the tasks
that are assigned to that host.
"""

from collections.abc import Iterable

import xxhash


def rank(task: str, names: Iterable[str]) -> list[str]:
  """Ranks hosts for a task.

  Args:
    task: Any stable name of the task.
    names: Names of the hosts, in any order.

  Returns:
    The names; the first is the host that the task is assigned to.
  """
  return sorted(names, key=lambda name: (_score(task, name), name))


def _score(task: str, name: str) -> int:
  return xxhash.xxh3_64_intdigest(f'{task}\x1f{name}'.encode())
