"""Measures the pauses of one stream and what its engine did meanwhile."""


class StreamMeter:
  """Pauses between the events of one stream, over all of its runs.

  Attributes:
    events: Number of events so far.
    longest_pause_s: Longest time between two events.
    most_beside: Most tokens that waited to be prefilled at the stream's engine,
      as known at its events.
  """

  def __init__(self):
    self.events = 0
    self.longest_pause_s = 0.0
    self.most_beside = 0
    self._first_at = 0.0
    self._last_at = 0.0
    self._beside = 0

  def record(self, events: int, beside: int, now: float) -> float | None:
    """Records events that arrived together.

    Args:
      events: Their number, at least one.
      beside: Tokens that wait to be prefilled at the engine now.
      now: Time on the event loop's clock.

    Returns:
      The time since the event before if the engine only decoded in it, None if
      it prefilled or there was no single event.
    """
    pause_s = now - self._last_at
    is_undisturbed = not beside and not self._beside
    is_first = not self.events
    self.events += events
    self.most_beside = max(self.most_beside, beside)
    self._last_at, self._beside = now, beside
    if is_first:
      self._first_at = now
      return None
    self.longest_pause_s = max(self.longest_pause_s, pause_s)
    return pause_s if is_undisturbed and events == 1 else None

  @property
  def mean_event_s(self) -> float:
    """Mean time between two events, 0 if there were fewer than two."""
    if self.events < 2:
      return 0.0
    return (self._last_at - self._first_at) / (self.events - 1)
