"""Probes endpoints to find out whether this host is cut off from all of them.

A probe is a connection without a request; it is kept for a later one.
`core/endpoint_reach.py` decides when to probe and what follows.
"""

import asyncio
import random

from mulberrypick.adapters import stream_client
from mulberrypick.core import gateway_records
from mulberrypick.ops import gateway_state

# Interval at which it is checked whether probes are due.
CHECK_INTERVAL_S = 0.05
# The same while this host suspects to be cut off.
SUSPECTED_CHECK_INTERVAL_S = 0.02
# Time limit of a probe.
PROBE_TIMEOUT_S = 0.2
# Time limit of its connection, which the one above ends earlier.
PROBE_LIMIT_S = 1.0
# A probe proves nothing if its end was noticed later than this: the process was
# short of processor time.
MAX_LATENESS_S = 0.03


class ReachTask:
  """Probes endpoints when it is due."""

  def __init__(self, state: gateway_state.GatewayState, rng: random.Random):
    self._state = state
    self._rng = rng

  async def run(self) -> None:
    """Probes until cancelled."""
    reach = self._state.reach
    while True:
      try:
        async with asyncio.timeout(CHECK_INTERVAL_S):
          await reach.suspected.wait()
      except TimeoutError:
        # A host may also have to probe because it is idle or apart.
        pass
      await self._check()
      if reach.suspected.is_set():
        await asyncio.sleep(SUSPECTED_CHECK_INTERVAL_S)

  async def _check(self) -> None:
    state = self._state
    now = asyncio.get_running_loop().time()
    if not state.reach.known.is_probe_due(now):
      return
    # Other hosts are asked whether they reach endpoints, or wait for an answer.
    state.load_changed.set()
    endpoints = list(state.endpoints.all())
    self._rng.shuffle(endpoints)
    probes = state.reach.known.choose_probes(endpoints)
    await asyncio.gather(*(self._probe(endpoint) for endpoint in probes))
    state.reach.record_round(probes, now)
    state.load_changed.set()

  async def _probe(self, endpoint: gateway_records.Endpoint) -> None:
    """Opens a connection, which fails unless this host itself is late."""
    loop = asyncio.get_running_loop()
    pool = self._state.pool
    end_at = loop.time() + PROBE_TIMEOUT_S
    opening = loop.create_task(pool.open(endpoint, PROBE_LIMIT_S))
    try:
      await asyncio.wait((opening,), timeout=PROBE_TIMEOUT_S)
      is_late = loop.time() - end_at > MAX_LATENESS_S
      if not opening.done():
        # Timers may run before sockets are read if this process stood still.
        await stream_client.read_arrived()
      if not opening.done():
        if not is_late:
          pool.on_failed(endpoint)
        return
      if opening.exception() is None:
        pool.release(endpoint, opening.result())
    finally:
      opening.cancel()
