"""A replica whose streams end with their connections."""

import asyncio

from standins import crash_point
from standins import fleet_replica


class OpenEndedReplica(fleet_replica.FleetReplica):
  """Sends streams with neither a length nor chunks.

  A crash after some events closes these connections as if the streams were
  complete.
  """

  async def _stream(self, answer_headers, start, body, caller) -> None:
    headers = [*answer_headers, (b'Content-Type', b'text/event-stream')]
    caller.write_head(200, headers, True)
    for number in range(start + 1, self.behaviour.events + 1):
      if number == start + crash_point.EVENTS_BEFORE_CRASH + 1:
        point = crash_point.parse_body(body)
        if point is crash_point.CrashPoint.STREAM:
          self._crash_in_order()
      if self._is_down:
        return
      caller.write(b'id: %d\ndata: piece %d\n\n' % (number, number))
      await asyncio.sleep(self.behaviour.event_interval_s)

  def _crash_in_order(self) -> None:
    """Crashes; the connections of streams are closed by their handlers."""
    if self._is_down:
      return
    self._is_down = True
    self._server.stop_listening()
    self.on_crash(self)
