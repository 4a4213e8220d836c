"""A caller of a soak run whose requests crash endpoints by a prompt part.

It sends sound requests beside them, with the same first part.
"""

import asyncio

from mulberrypick.core import errors
from standins import crash_point
from standins import gateway_cluster
from standins import soak_checks
from standins import soak_cluster

# Time in which only sound requests are sent.
SOUND_ONLY_S = 1.8
SOUND_INTERVAL_S = 0.05
CRASHING_INTERVAL_S = 0.15
TIMEOUT_S = 5.0
ROUTE = 'read'
FIRST_PART = 'ee:600'
# Crashes after which the part is refused, but for requests sent within
# `soak_checks.STABLE_S`.
CRASHES_BEFORE_REFUSAL = 5
# Sound requests in each of two periods from which their shares are compared.
MIN_SOUND = 20
MIN_SOUND_SHARE = 0.5
CRASHING_PREFIX = 'killer-'


class PartCaller:
  """Sends sound requests and ones that crash endpoints.

  Attributes:
    sound: Observations of the sound requests that ended.
    crashing: Observations of the other ones that ended.
  """

  def __init__(self, cluster: soak_cluster.SoakCluster):
    self.sound: list[soak_checks.Observation] = []
    self.crashing: list[soak_checks.Observation] = []
    self._body = b''
    self._cluster = cluster

  async def run(self, point: crash_point.CrashPoint, duration_s: float) -> None:
    """Sends sound requests for a time, and after a while the others too."""
    part = crash_point.make_part(point)
    self._body = crash_point.CRASH_MARKER + point.value.encode()
    began_at = self._cluster.now()
    crashing_at = began_at + SOUND_ONLY_S
    number = 0
    async with asyncio.TaskGroup() as group:
      while self._cluster.now() < began_at + duration_s:
        number += 1
        group.create_task(self._send(number, f'sound-{number}', '', self.sound))
        if self._cluster.now() >= crashing_at:
          crashing_at += CRASHING_INTERVAL_S
          request = f'{CRASHING_PREFIX}{number}'
          group.create_task(self._send(number, request, part, self.crashing))
        await asyncio.sleep(SOUND_INTERVAL_S)

  async def _send(
      self,
      number: int,
      request: str,
      part: str,
      observations: list[soak_checks.Observation],
  ) -> None:
    ready = []
    for gateway in self._cluster.gateway_by_name.values():
      if gateway.is_ready:
        ready.append(gateway.host)
    if not ready:
      return
    host = ready[number % len(ready)]
    parts = [FIRST_PART, f'b{number % 4}:200']
    if part:
      parts.append(f'{part}:70')
    parts.append(f'{number:x}{len(part):02x}:30')
    headers = {
        'X-Mulberrypick-Deadline-Ms': '1400',
        'X-Mulberrypick-Token-Usage': '900,30',
        'X-Mulberrypick-Prefix-Hash': ','.join(parts),
    }
    began_at = self._cluster.now()
    try:
      answer = await gateway_cluster.call(
          host.listen_port,
          f'/{ROUTE}/x',
          request,
          headers,
          request.encode(),
          disconnect_after_s=TIMEOUT_S,
      )
    except errors.ConnectError:
      # The gateway was stopped or killed since the last poll.
      return
    observations.append(
        soak_checks.Observation(
            request,
            ROUTE,
            host.name,
            began_at,
            self._cluster.now(),
            answer.status,
            answer.body,
            answer.is_whole,
            False,
        )
    )

  def find_violations(
      self, disturbances: list[soak_checks.Outage]
  ) -> list[str]:
    """Returns what the part crashed too late, or took along.

    Args:
      disturbances: Periods in which a gateway, its path to the store, or the
        store was disturbed.
    """
    crashes = [at for at, by in self._cluster.crashes if by == self._body]
    if not crashes:
      return []
    violations = soak_checks.find_late_retries(
        self.crashing,
        crashes,
        self._cluster.crashing_arrivals(),
        disturbances,
        CRASHING_PREFIX,
        CRASHES_BEFORE_REFUSAL,
    )
    known_at = crashes[min(len(crashes), CRASHES_BEFORE_REFUSAL) - 1]
    before, after = [], []
    for call in self.sound:
      if soak_checks.is_disturbed(call, disturbances):
        continue
      has_begun = call.status == 200 and bool(call.body)
      if call.ended_at < crashes[0]:
        before.append(has_begun)
      elif call.began_at > known_at + 2 * soak_checks.STABLE_S:
        after.append(has_begun)
    if min(len(before), len(after)) < MIN_SOUND:
      return violations
    share = sum(after) / len(after)
    if share < MIN_SOUND_SHARE * sum(before) / len(before):
      violations.append(
          f'LOST: {sum(after)} of {len(after)} sound requests begin after'
          f' {len(crashes)} crashes by a part, {sum(before)} of {len(before)}'
          ' before'
      )
    return violations
