"""Explains how each recent request was routed, refused or retried."""

import collections

MAX_REQUESTS = 2000
MAX_LINES = 20


class DecisionLog:
  """A bounded log of the decisions on each request."""

  def __init__(self, max_requests: int = MAX_REQUESTS):
    self._max_requests = max_requests
    self._lines_by_request: collections.OrderedDict[str, list[str]] = (
        collections.OrderedDict()
    )

  def add_line(self, request_id: str, line: str) -> None:
    """Adds a line to a request; evicts the oldest request if necessary."""
    lines = self._lines_by_request.get(request_id)
    if lines is None:
      lines = self._lines_by_request[request_id] = []
      if len(self._lines_by_request) > self._max_requests:
        self._lines_by_request.popitem(last=False)
    if len(lines) < MAX_LINES:
      lines.append(line)

  def lines(self, request_id: str) -> list[str]:
    """Returns the lines of a request, oldest first."""
    return list(self._lines_by_request.get(request_id, []))
