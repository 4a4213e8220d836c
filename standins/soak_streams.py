"""A caller of a soak run that breaks off streams and takes them up again."""

import asyncio
import time
from typing import NamedTuple

from mulberrypick.core import errors
from standins import event_versions
from standins import gateway_cluster
from standins import soak_checks
from standins import soak_cluster

INTERVAL_S = 0.1
# Time after which the caller breaks off a stream: after some events.
BREAK_OFF_S = 0.12
TIMEOUT_S = 5.0
# Streams taken up from which their share is checked.
MIN_STREAMS = 12
# Share that must go on, of the share of new streams that begin.
MIN_SHARE = 0.5
HEADERS = {
    'X-Mulberrypick-Deadline-Ms': '1400',
    'X-Mulberrypick-Token-Usage': '220,70',
}


class TakenUp(NamedTuple):
  """A stream that was taken up.

  Attributes:
    request: Id of the first attempt.
    gateways: The gateways of both attempts.
    began_at: When the first attempt was sent, in seconds after the start.
    ended_at: When the second attempt ended.
    versions: Software versions of its events.
    has_gone_on: Whether the second attempt was served.
  """

  request: str
  gateways: tuple[str, str]
  began_at: float
  ended_at: float
  versions: frozenset[str]
  has_gone_on: bool


class StreamCaller:
  """Begins streams at one gateway, and takes them up at the next one.

  Attributes:
    taken_up: The streams.
    begun: Whether a stream began, for those that did or that failed.
  """

  def __init__(self, cluster: soak_cluster.SoakCluster):
    self.taken_up: list[TakenUp] = []
    self.begun: list[bool] = []
    self._cluster = cluster

  async def run(self, duration_s: float) -> None:
    """Sends streams at a constant rate."""
    end_at = time.monotonic() + duration_s
    number = 0
    async with asyncio.TaskGroup() as group:
      while time.monotonic() < end_at:
        number += 1
        group.create_task(self._run_one(number))
        await asyncio.sleep(INTERVAL_S)

  async def _run_one(self, number: int) -> None:
    ready = []
    for gateway in self._cluster.gateway_by_name.values():
      if gateway.is_ready:
        ready.append(gateway.host)
    if not ready:
      return
    hosts = (ready[number % len(ready)], ready[(number + 1) % len(ready)])
    request = f'stream-{number}'
    began_at = time.monotonic() - self._cluster.started_at
    begun = await _call(hosts[0].listen_port, request, number, BREAK_OFF_S, {})
    if begun is None:
      return
    last = event_versions.last_event_id(begun.body)
    if not last:
      # Without a status the stream may have begun later.
      if begun.status not in (0, 200):
        self.begun.append(False)
      return
    self.begun.append(True)
    if begun.is_whole:
      return
    resumed = {'Resumes': request, 'Last-Event-Id': str(last)}
    # Another prompt, so that another engine would be preferred.
    rest = await _call(
        hosts[1].listen_port, f'{request}-again', number + 1, TIMEOUT_S, resumed
    )
    if rest is None:
      return
    versions = event_versions.versions(begun.body)
    if rest.status == 200:
      versions |= event_versions.versions(rest.body)
    self.taken_up.append(
        TakenUp(
            request,
            (hosts[0].name, hosts[1].name),
            began_at,
            time.monotonic() - self._cluster.started_at,
            frozenset(versions),
            rest.status == 200,
        )
    )

  def find_violations(self, outages: list[soak_checks.Outage]) -> list[str]:
    """Returns streams of two versions, and whether too few went on.

    Args:
      outages: Periods in which gateways were killed, paused or starting; those
        without a name are of all gateways.
    """
    violations = []
    calm = []
    for stream in self.taken_up:
      if len(stream.versions) > 1:
        versions = ' '.join(sorted(stream.versions))
        violations.append(f'ORDER: {stream.request} has events of {versions}')
      if not _is_disturbed(stream, outages):
        calm.append(stream.has_gone_on)
    if len(calm) < MIN_STREAMS:
      return violations
    begun_share = sum(self.begun) / len(self.begun)
    if sum(calm) / len(calm) < MIN_SHARE * begun_share:
      violations.append(
          f'LOST: {sum(calm)} of {len(calm)} streams went on,'
          f' {sum(self.begun)} of {len(self.begun)} had begun'
      )
    return violations


async def _call(
    port: int,
    request: str,
    number: int,
    timeout_s: float,
    headers: dict[str, str],
) -> gateway_cluster.Answer | None:
  """Sends a request; returns None if the gateway accepts no connection."""
  # Prompts with different first parts are placed at different engines.
  parts = {'X-Mulberrypick-Prefix-Hash': f'{number % 7:x}:80,bb:140'}
  try:
    return await gateway_cluster.call(
        port,
        '/ask/x',
        request,
        HEADERS | parts | headers,
        b'stream',
        disconnect_after_s=timeout_s,
    )
  except errors.ConnectError:
    # The gateway was killed since the last poll.
    return None


def _is_disturbed(stream: TakenUp, outages: list[soak_checks.Outage]) -> bool:
  for outage in outages:
    if outage.gateway and outage.gateway not in stream.gateways:
      continue
    if (
        outage.began_at < stream.ended_at
        and outage.ended_at + soak_checks.STABLE_S > stream.began_at
    ):
      return True
  return False
