"""A replica that is gone gets requests after channels went silent."""

import asyncio
import itertools
import pathlib
import time

from review.shared import case
from review.shared import gateway
from review.shared import replica
from review.shared import requester

TIMEOUT_MS = 1000
CHANNELS = 24
PAUSE_S = 0.02
# Requests that a replica runs at once, as in the sheet.
SLOTS = 6
# The entry of a replica is removed so long after the channels went silent.
REMOVED_AFTER_S = 0.5
SETTLE_S = 8.0
AFTER_S = 8.0
# The replica that had most requests in so long a time is taken away.
RECENT_S = 2.0
_numbers = itertools.count(1)


async def _keep_sending(
    host: gateway.Gateway, stop: asyncio.Event
) -> list[requester.Attempt]:
  """Sends requests on one channel until it is told to stop."""
  channel = requester.Channel(host.name, host.ip, host.front_port)
  attempts = []
  while not stop.is_set():
    if not channel.is_open:
      await channel.open()
    attempts.append(
        await channel.send(f'r{next(_numbers)}', 'GET', '/stock/2f', TIMEOUT_MS)
    )
    await asyncio.sleep(PAUSE_S)
  channel.close()
  return attempts


def _count_recent(item: replica.Replica, now: float) -> int:
  """Returns how many requests reached a replica shortly before a time."""
  return sum(now - RECENT_S < arrival.at <= now for arrival in item.arrivals)


async def play(deployment: case.Deployment) -> bool:
  """Plays the case; returns whether the rule held."""
  replicas = [
      replica.Replica(f'i-desk-{number}', 'desk', 'oita')
      for number in (1, 2, 3)
  ]
  for item in replicas:
    item.slots = SLOTS
  route = case.make_route(
      'stock', 'safe', 'desk', timeoutMs=TIMEOUT_MS, maxAttempts=2
  )
  await deployment.start(
      case.make_config([route]), replicas, ['fukuoka', 'oita']
  )
  stop = asyncio.Event()
  sending = [
      asyncio.create_task(_keep_sending(deployment.gateways[number % 2], stop))
      for number in range(CHANNELS)
  ]
  await asyncio.sleep(SETTLE_S)
  silent_at = time.monotonic()
  if deployment.has_trouble:
    silenced = deployment.store_proxy.silence()
    deployment.note(f'{silenced} channels to the store are silent from now on')
  await asyncio.sleep(REMOVED_AFTER_S)
  gone = max(replicas, key=lambda r: _count_recent(r, silent_at))
  removed_at = deployment.store.remove('servers', gone.id)
  deployment.note(f'the entry of {gone.id} is removed')
  await asyncio.sleep(AFTER_S)
  stop.set()
  attempts = [a for done in await asyncio.gather(*sending) for a in done]
  drain_s = gateway.BOUNDS['drainMs'] / 1000
  after = [arrival for arrival in gone.arrivals if arrival.at > removed_at]
  # Both times must be over: that of the channels, for which all machines are
  # out of touch, and that of the replica's leaving.
  in_touch_at = silent_at + gateway.BOUNDS['stableWindowMs'] / 1000
  bound_at = max(in_touch_at, removed_at + drain_s)
  late = [a for a in after if a.at > bound_at]
  for arrival in late:
    deployment.note(
        f'late: {arrival.request} reached {gone.id}'
        f' {arrival.at - removed_at:.3f} s after its removal,'
        f' {arrival.at - silent_at:.3f} s after the channels went silent'
    )
  last_s = max((a.at - removed_at for a in after), default=0.0)
  deployment.note(
      f'{len(attempts)} requests,'
      f' {sum(a.is_complete for a in attempts)} answers complete; {len(after)}'
      f' reached {gone.id} after its removal, the last one {last_s:.3f} s after'
      f' it, {len(late)} while all machines were in touch again and later than'
      f' {drain_s} s'
  )
  return not late


if __name__ == '__main__':
  case.run(pathlib.Path(__file__).parent, play)
