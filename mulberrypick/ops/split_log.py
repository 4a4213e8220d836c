"""Logs which engines this host uses for what, when that has changed."""

import logging

from mulberrypick.adapters import logs
from mulberrypick.core import placements

_log = logging.getLogger(__name__)
# Shortest time between two lines on one service.
MIN_INTERVAL_S = 1.0


class SplitLog:
  """Remembers what was logged last, by service."""

  def __init__(self):
    self._logged: dict[str, tuple[float, tuple[tuple[str, ...], ...]]] = {}

  def record(
      self, service: str, split: placements.EngineSplit, now: float
  ) -> None:
    """Logs the split of a service unless it is as logged last.

    Args:
      service: Name of the service.
      split: Its engines as this host uses them, and why.
      now: Time on the event loop's clock.
    """
    names = (split.prefillers, split.decoders, split.overflow, split.draining)
    logged_at, logged = self._logged.get(service, (float('-inf'), ((),)))
    if names == logged or now - logged_at < MIN_INTERVAL_S:
      return
    self._logged[service] = (now, names)
    logs.log_event(
        _log,
        logging.INFO,
        'engine_split',
        service=service,
        prefillers=','.join(split.prefillers),
        decoders=','.join(split.decoders),
        overflow=','.join(split.overflow),
        draining=','.join(split.draining),
        decode_quarters=split.quarters,
        decoder_capacity=round(split.capacity, 1),
    )
