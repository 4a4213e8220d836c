"""When a relay sends the load of engines, and when other news.

Answers load pattern: a flood of prompts at hundreds of hosts while engines
crash. Evidence of crashes and prompt parts are ten times as large as the load,
and would delay it by half a second. In that time all hosts send to the engines
that had the least load before, which then refuse.
"""

# Together less than half of the slowest supported link, which carries 5 Mbit/s.
MAX_LOAD_BYTES_PER_S = 120_000
MAX_NEWS_BYTES_PER_S = 120_000


class RelayTraffic:
  """Shares the traffic that a relay may cause between load and news."""

  def __init__(self):
    # Size of the last messages that held the load and no news.
    self._load_bytes = 0
    self._news_due_at = float('-inf')

  @property
  def min_interval_s(self) -> float:
    """Shortest time between two messages with the load."""
    return self._load_bytes / MAX_LOAD_BYTES_PER_S

  def is_news_due(self, now: float) -> bool:
    """Returns whether the next messages may hold news."""
    return now >= self._news_due_at

  def record_sent(self, sent_bytes: int, had_news: bool, now: float) -> None:
    """Records the size of the messages that were sent at one time."""
    if not had_news:
      self._load_bytes = sent_bytes
      return
    news_bytes = max(0, sent_bytes - self._load_bytes)
    self._news_due_at = now + news_bytes / MAX_NEWS_BYTES_PER_S
