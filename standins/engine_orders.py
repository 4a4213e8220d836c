"""Orders to the simulated engine: models, roles and draining.

`accept` checks fencing tokens and sequence numbers. An accepted order takes
time and is executed in its own thread. A role change and an unload abort
running requests, as real engines do.
"""

import os
import threading
import time
from collections.abc import Callable
from http import HTTPStatus
from typing import NamedTuple

from mulberrypick.core import records
from standins import wire

CRASH_STATUS = 71


class Settings(NamedTuple):
  """Identity of an engine and the duration of its changes.

  Attributes:
    name: Name of the engine.
    incarnation: Increases with every start of the engine.
    checks_fence: Whether it refuses orders with an old fencing token.
    role_change_s: Duration of a role change.
    load_model_s: Duration of loading a model.
  """

  name: str
  incarnation: int
  checks_fence: bool
  role_change_s: float
  load_model_s: float


class Orders:
  """The models, role and draining state, and the orders that change them."""

  def __init__(
      self,
      settings: Settings,
      models: tuple[str, ...],
      role: str,
      abort_requests: Callable[[str], None],
  ):
    """Creates the state of an engine that has just started.

    Args:
      settings: Identity and durations.
      models: Loaded models, `name@version` or `name@version+adapter`.
      role: Initial role.
      abort_requests: Aborts the requests for a `name` or `name+adapter`, or
        all requests if the name is empty.
    """
    self._settings = settings
    self._abort_requests = abort_requests
    self._lock = threading.Lock()
    self._models = dict.fromkeys(models)
    self._role = role
    self._fence = 0
    self._last_order: records.Order | None = None
    self._is_changing = False
    self._is_changing_role = False
    self._is_draining = False
    self.delay_s = 0.0
    self.crash_in_next_order = False
    self.accepted = 0
    self.conflicts = 0

  def state(self, running: int) -> records.EngineState:
    """Returns the current state, with a number of running requests."""
    with self._lock:
      last = self._last_order
      return records.EngineState(
          self._settings.name,
          self._settings.incarnation,
          self._role,
          tuple(self._models),
          self._fence if self._settings.checks_fence else 0,
          last.sequence if last else 0,
          self._is_changing,
          self._is_draining,
          running,
      )

  def served_models(self) -> tuple[str, ...]:
    """Returns the loaded models as `name` or `name+adapter`."""
    with self._lock:
      return tuple(dict.fromkeys(map(served_name, self._models)))

  def refusal(self, needed_model: str, wrong_role: str) -> wire.Answer | None:
    """Returns the error answer to a new request that must be refused.

    Args:
      needed_model: `name` or `name+adapter` that the request needs.
      wrong_role: The role that can't serve this request, empty for none.

    Returns:
      The error answer, or None if the request is accepted.
    """
    if needed_model not in self.served_models():
      return wire.error_answer(HTTPStatus.NOT_FOUND, 'model')
    with self._lock:
      if self._is_draining:
        return wire.error_answer(HTTPStatus.CONFLICT, 'draining')
      if self._is_changing_role or self._role == wrong_role:
        return wire.error_answer(HTTPStatus.CONFLICT, 'role')
    return None

  def accept(self, order: records.Order) -> wire.Answer:
    """Accepts or refuses an order; executes it in the background."""
    with self._lock:
      if self._settings.checks_fence and order.fence < self._fence:
        return _refuse('fence', fence=self._fence)
      is_conflict = order.fence < self._fence
      self._fence = max(self._fence, order.fence)
      if self._is_repeat(order):
        return wire.json_answer({}, HTTPStatus.ACCEPTED)
      if self._last_order and order.sequence <= self._last_order.sequence:
        return _refuse('sequence')
      if self._is_changing:
        return _refuse('changing')
      self._last_order = order
      self._is_changing = True
      self._is_changing_role = order.action == records.ACTION_ROLE
      self.accepted += 1
      self.conflicts += int(is_conflict)
    threading.Thread(target=self._execute, args=(order,), daemon=True).start()
    return wire.json_answer({}, HTTPStatus.ACCEPTED)

  def _is_repeat(self, order: records.Order) -> bool:
    # A new controller repeats a pending order with its own fencing token.
    if self._last_order is None:
      return False
    return order._replace(fence=0) == self._last_order._replace(fence=0)

  def _execute(self, order: records.Order) -> None:
    if order.action == records.ACTION_ROLE:
      self._abort_requests('')
    duration_s = self._duration_s(order) + self.delay_s
    time.sleep(duration_s / 2)
    if self.crash_in_next_order:
      os._exit(CRASH_STATUS)
    time.sleep(duration_s / 2)
    with self._lock:
      self._apply(order)
      self._is_changing = False
      self._is_changing_role = False
    if order.action == records.ACTION_UNLOAD:
      name = served_name(_loaded_name(order))
      if name not in self.served_models():
        self._abort_requests(name)

  def _duration_s(self, order: records.Order) -> float:
    if order.action == records.ACTION_ROLE:
      return self._settings.role_change_s
    if order.action == records.ACTION_LOAD:
      return self._settings.load_model_s
    return 0.0

  def _apply(self, order: records.Order) -> None:
    if order.action == records.ACTION_LOAD:
      self._models[_loaded_name(order)] = None
    elif order.action == records.ACTION_UNLOAD:
      self._models.pop(_loaded_name(order), None)
    elif order.action == records.ACTION_ROLE:
      self._role = order.role
    elif order.action == records.ACTION_DRAIN:
      self._is_draining = True
    elif order.action == records.ACTION_UNDRAIN:
      self._is_draining = False


def served_name(loaded: str) -> str:
  """Turns `name@version+adapter` into `name+adapter`."""
  name, _, rest = loaded.partition('@')
  _, plus, adapter = rest.partition('+')
  return f'{name}{plus}{adapter}'


def model_name(model: str, adapter: str) -> str:
  """Returns `name` or `name+adapter`."""
  return f'{model}+{adapter}' if adapter else model


def _loaded_name(order: records.Order) -> str:
  loaded = f'{order.model}@{order.version}'
  return f'{loaded}+{order.adapter}' if order.adapter else loaded


def _refuse(error: str, **fields: int) -> wire.Answer:
  return wire.error_answer(HTTPStatus.CONFLICT, error, **fields)
