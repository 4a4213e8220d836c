"""Reads the software versions of the events in a stream of the stand-ins."""

from standins import fleet_replica


def versions(body: bytes) -> set[str]:
  """Returns the versions that wrote the complete events of a stream."""
  found = set()
  for event in body.split(b'\n\n')[:-1]:
    version = fleet_replica.DEFAULT_SOFTWARE
    for line in event.splitlines():
      if line.startswith(b': '):
        version = line[2:].decode()
    found.add(version)
  return found


def last_event_id(body: bytes) -> int:
  """Returns the id of the last complete event, 0 if there is none."""
  events = body.split(b'\n\n')[:-1]
  if not events:
    return 0
  return int(events[-1].splitlines()[0].partition(b':')[2])
