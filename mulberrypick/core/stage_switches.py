"""Engines that are changing their stage, prefill or decode, on an order.

Such an engine refuses new requests until it has changed. As it has no load
then, every host would prefer it. The host that gives the order therefore tells
the others, which use the engine again once the list shows its new stage.
"""

from typing import NamedTuple

# Longest time for which an engine is left out. It is used again then, whether
# the order was executed or not.
MAX_SWITCH_S = 6.0
# Time for which an ended switch is remembered, so that late reports of other
# hosts do not start it again.
REMEMBER_S = 10.0


class SwitchReport(NamedTuple):
  """A switch as hosts tell it to each other.

  Attributes:
    name: Name of the engine.
    started_ms: Its start; distinguishes restarts.
    number: Number of orders that it had accepted before.
    left_s: Time for which it is still left out.
  """

  name: str
  started_ms: int
  number: int
  left_s: float


class _Switch:

  def __init__(self, number: int, until: float):
    self.number = number
    self.until = until
    self.forget_at = until + REMEMBER_S


class StageSwitches:
  """Engines that are changing their stage, by incarnation."""

  def __init__(self):
    self._by_incarnation: dict[tuple[str, int], _Switch] = {}

  def record(self, report: SwitchReport, now: float) -> bool:
    """Records a switch; returns whether it is new.

    A report of a switch that is known does not prolong it.
    """
    incarnation = (report.name, report.started_ms)
    known = self._by_incarnation.get(incarnation)
    if known is not None and report.number <= known.number:
      return False
    if not 0.0 < report.left_s <= MAX_SWITCH_S:
      return False
    until = now + report.left_s
    self._by_incarnation[incarnation] = _Switch(report.number, until)
    return True

  def is_switching(self, incarnation: tuple[str, int], now: float) -> bool:
    """Returns whether an engine is to be left out."""
    switch = self._by_incarnation.get(incarnation)
    return switch is not None and now < switch.until

  def end(self, incarnation: tuple[str, int], now: float) -> None:
    """Records that an engine has changed its stage, or does not."""
    switch = self._by_incarnation.get(incarnation)
    if switch is not None:
      switch.until = min(switch.until, now)

  def reports(self, now: float) -> list[SwitchReport]:
    """Returns the present switches, to be told to other hosts."""
    found = []
    for incarnation, switch in list(self._by_incarnation.items()):
      if now >= switch.forget_at:
        del self._by_incarnation[incarnation]
      elif now < switch.until:
        left_s = round(switch.until - now, 3)
        found.append(SwitchReport(*incarnation, switch.number, left_s))
    return found

  def count(self, now: float) -> int:
    """Returns the number of engines that are changing their stage."""
    return sum(now < s.until for s in self._by_incarnation.values())
