"""Sends stage orders to engines under a lease in the platform's store.

A stage order makes an engine switch to another stage, prefill or decode. It may
be sent only during a term, a period for which this host holds the lease. The
lease is acquired only when an order is due, so that it causes no load
otherwise. `core/lease.py` decides on the lease, on a clock that includes the
time for which the host is suspended.
"""

import asyncio
import logging
import secrets

import msgspec

from mulberrypick.adapters import boot_clock
from mulberrypick.adapters import logs
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.core import lease
from mulberrypick.core import stage_balance
from mulberrypick.core import stage_planner
from mulberrypick.core import stage_switches
from mulberrypick.core import store_era
from mulberrypick.ops import gateway_state
from mulberrypick.ops import split_log
from mulberrypick.platform import orders
from mulberrypick.platform import protocol
from mulberrypick.platform import store

_log = logging.getLogger(__name__)
# Interval at which the engines' stages are checked.
CHECK_INTERVAL_S = 0.2
# Duration of a term. The platform expects at least this time between the last
# order of one holder of the lease and the first order of the next holder.
TERM_S = 3.0
# A successor waits for a term and this guard time, so that its first order is
# sent more than a term after the last order of its predecessor.
GUARD_S = 3.5
# An order is sent only if this much of the term is left, so that it arrives
# within the term.
ORDER_MARGIN_S = 1.5
# Time from telling other hosts of an order until it is sent, so that they send
# nothing to the engine any more; members of groups hear of it within it.
ANNOUNCE_S = 0.05
# Time without orders for the balance of the stages after one that failed, or
# that the lease did not permit.
RETRY_PAUSE_S = 2.0
# Time after an order in which the engine gets no other one for the balance: it
# may have accepted the order and not executed it.
MIN_STAGE_S = 30.0
# Number of hosts that are ready to see to the balance when the first is gone.
STANDBY_HOSTS = 2
# Fraction of the known hosts that this host must hear to see to the balance.
MIN_HEARD_FRACTION = 0.75
# Responses of an engine that changes its stage, or has it already.
ACCEPTED_STATUSES = (200, 202)
# Fencing numbers of each era of the store. An older copy has lost the latest
# terms, so that their numbers are not known from the object.
FENCES_PER_ERA = 1_000_000


class StageTask:
  """Monitors the stages of engines and orders changes where needed."""

  def __init__(
      self, state: gateway_state.GatewayState, client: store.StoreClient
  ):
    self._state = state
    self._client = client
    self._plan = stage_planner.StagePlanner()
    self._balance = stage_balance.StageBalance(
        boot_clock.boot_time() if state.host.is_first_start else None
    )
    self._split_log = split_log.SplitLog()
    self._balance_from = 0.0
    # When each incarnation was ordered to change.
    self._ordered_at: dict[tuple[str, int], float] = {}
    owner = f'{state.host.name}.{secrets.token_hex(4)}'
    self._lease = lease.Lease(owner)
    self._era = 0
    self._era_seen_at = boot_clock.boot_time()
    self._highest_fence = 0

  async def run(self) -> None:
    """Checks at regular intervals whether an order is due, until cancelled."""
    while True:
      await asyncio.sleep(CHECK_INTERVAL_S)
      self._observe_era()
      self._log_splits()
      state = self._state
      if state.is_leaving or state.reach.is_apart:
        # It gives no orders, and could not deliver them.
        continue
      if state.store_contact_since is None:
        continue
      orders_due = self._decide()
      if not orders_due:
        continue
      try:
        await self._send_orders(orders_due)
      except (
          errors.StoreError,
          errors.ConnectError,
          errors.ExchangeBrokenError,
      ) as error:
        self._balance_from = boot_clock.boot_time() + RETRY_PAUSE_S
        logs.log_event(
            _log,
            logging.WARNING,
            'order_failed',
            endpoint=','.join(order.endpoint.name for order in orders_due),
            error=str(error),
        )

  def _log_splits(self) -> None:
    config = self._state.config
    now = asyncio.get_running_loop().time()
    for service in config.service_by_name.values() if config else ():
      if not service.is_engine:
        continue
      split = self._state.placer.split(service.name, now)
      if split is not None:
        self._split_log.record(service.name, split, now)

  def _decide(self) -> list[stage_planner.StageOrder]:
    """Returns the orders that are due now."""
    state = self._state
    now = asyncio.get_running_loop().time()
    taking = []
    for endpoint in state.endpoints.all():
      if not state.endpoints.is_held_off(endpoint, now):
        taking.append(endpoint)
    order = self._plan.decide(
        taking, state.rank_among_hosts, boot_clock.boot_time()
    )
    if order is not None:
      return [order]
    if state.rank_among_hosts > STANDBY_HOSTS:
      return []
    if boot_clock.boot_time() < self._balance_from or not self._hears_fleet():
      return []
    uses = []
    for endpoint in taking:
      if state.endpoints.is_suspended(endpoint, now):
        continue
      if state.endpoints.is_draining(endpoint):
        continue
      load = state.load.total(endpoint, now)
      uses.append(
          stage_balance.EngineUse(
              endpoint,
              load.urgent_tokens + load.other_tokens,
              load.decoding,
              state.placer.fetches.capacity(endpoint),
              load.fetches,
              state.placer.fetches.max_fetches(endpoint),
              load.streams,
              state.endpoints.switches.is_switching(endpoint.incarnation, now),
              self._may_change(endpoint),
          )
      )
    given = self._balance.decide(uses, boot_clock.boot_time())
    # One host alone sees to the balance. The next ones only observe, so that
    # they know the load if they take over.
    return given if state.rank_among_hosts == 0 else []

  def _may_change(self, endpoint: gateway_records.Endpoint) -> bool:
    """Returns whether an engine was not ordered to change lately."""
    ordered_at = self._ordered_at.get(endpoint.incarnation, float('-inf'))
    return boot_clock.boot_time() - ordered_at >= MIN_STAGE_S

  def _record_order(self, endpoint: gateway_records.Endpoint) -> None:
    now = boot_clock.boot_time()
    for incarnation, ordered_at in list(self._ordered_at.items()):
      if now - ordered_at >= MIN_STAGE_S:
        del self._ordered_at[incarnation]
    self._ordered_at[endpoint.incarnation] = now
    self._plan.record_order(endpoint.service, now)

  def _hears_fleet(self) -> bool:
    """Returns whether this host knows the load of most hosts.

    One that is cut off from others would take their decode load for none.
    """
    known = self._state.hosts + self._state.missed_hosts
    return self._state.hosts >= MIN_HEARD_FRACTION * known

  async def _send_orders(
      self, orders_due: list[stage_planner.StageOrder]
  ) -> None:
    await self._acquire_lease()
    for order in orders_due:
      if not self._can_send_order():
        # Another host holds the lease, or too little of the term is left.
        self._balance_from = boot_clock.boot_time() + RETRY_PAUSE_S
        logs.log_event(
            _log,
            logging.INFO,
            'order_not_permitted',
            endpoint=order.endpoint.name,
            stage=order.stage.value,
            lease=self._lease.state,
        )
        return
      await self._send_order(order)

  async def _send_order(self, order: stage_planner.StageOrder) -> None:
    endpoint = order.endpoint
    number = await orders.read_order_count(endpoint)
    self._announce(endpoint, number)
    await asyncio.sleep(ANNOUNCE_S)
    if not self._can_send_order():
      self._end_switch(endpoint)
      return
    self._record_order(endpoint)
    try:
      status = await orders.send_stage_order(
          endpoint, order.stage, self._lease.owner, self._lease.fence, number
      )
    except errors.ConnectError:
      self._end_switch(endpoint)
      raise
    if status not in ACCEPTED_STATUSES:
      self._end_switch(endpoint)
    if status == 412:
      self._lease = lease.on_stale(self._lease)
    logs.log_event(
        _log,
        logging.INFO,
        'order_given',
        endpoint=endpoint.name,
        stage=order.stage.value,
        fence=self._lease.fence,
        status=status,
    )

  def _announce(self, endpoint: gateway_records.Endpoint, number: int) -> None:
    """Tells all hosts that an engine will refuse requests for a while."""
    report = stage_switches.SwitchReport(
        *endpoint.incarnation, number, stage_switches.MAX_SWITCH_S
    )
    now = asyncio.get_running_loop().time()
    self._state.record_switch(report, self._state.host.name, now)

  def _end_switch(self, endpoint: gateway_records.Endpoint) -> None:
    """Uses an engine again that did not take an order."""
    now = asyncio.get_running_loop().time()
    self._state.endpoints.switches.end(endpoint.incarnation, now)

  def _can_send_order(self) -> bool:
    self._lease = lease.on_tick(self._lease, boot_clock.boot_time())
    return lease.is_authorized(
        self._lease, boot_clock.boot_time() + ORDER_MARGIN_S
    )

  def _observe_era(self) -> None:
    """Notes when the store came back from an older copy."""
    era = self._state.store_era.current
    if era != self._era:
      self._era, self._era_seen_at = era, boot_clock.boot_time()

  def _may_take_lease(self) -> bool:
    """Returns whether no holder is left, also of a term that got lost."""
    now = boot_clock.boot_time()
    record = self._lease.record
    has_settled = not self._era or (now >= self._era_seen_at + TERM_S + GUARD_S)
    if record is not None and record.owner == self._lease.owner and has_settled:
      # The last term was one of this process, and nobody else has given orders
      # since, or the conditional write fails.
      return self._lease.state == lease.WATCHING
    if not lease.can_take(self._lease, now, GUARD_S):
      return False
    return record is not None or has_settled

  async def _acquire_lease(self) -> None:
    """Acquires or renews the lease, or reads whether another holder has it."""
    self._lease = lease.on_tick(self._lease, boot_clock.boot_time())
    if self._lease.state == lease.HOLDING:
      if not self._can_send_order():
        await self._renew()
      return
    await self._read()
    self._observe_era()
    if not self._may_take_lease():
      return
    min_fence = max(self._era * FENCES_PER_ERA, self._highest_fence) + 1
    self._lease, record = lease.begin_take(
        self._lease,
        boot_clock.boot_time(),
        secrets.token_hex(8),
        TERM_S,
        min_fence,
    )
    await self._write(record)

  async def _renew(self) -> None:
    self._lease, record = lease.begin_renewal(
        self._lease, boot_clock.boot_time(), secrets.token_hex(8), TERM_S
    )
    await self._write(record)

  async def _read(self) -> None:
    found = await self._client.read(protocol.LEASES_KIND, protocol.STAGES_LEASE)
    version, record = 0, None
    if found is not None:
      version = found.revision
      record = lease.decode_record(msgspec.json.encode(found.spec))
      self._highest_fence = max(self._highest_fence, record.fence)
    self._lease = lease.on_read(
        self._lease, version, record, boot_clock.boot_time()
    )

  async def _write(self, record: lease.LeaseRecord) -> None:
    spec = record._asdict()
    self._highest_fence = max(self._highest_fence, record.fence)
    try:
      written = await self._client.put_if_revision(
          protocol.LEASES_KIND, protocol.STAGES_LEASE, spec, self._lease.version
      )
    except errors.StoreError as error:
      if error.status:
        self._lease = lease.on_unavailable(self._lease)
        raise
      self._lease = lease.on_lost(self._lease)
      await self._read()
      return
    if written is None:
      self._lease = lease.on_conflict(self._lease)
      await self._read()
      return
    era = store_era.era_of(written.revision)
    if self._lease.version and era != store_era.era_of(self._lease.version):
      # The revision was given out again: this replaced another holder's term,
      # which ends before anybody takes the lease by this record.
      self._lease = lease.Lease(self._lease.owner)
      logs.log_event(_log, logging.WARNING, 'lease_of_older_era_written')
      return
    self._lease = lease.on_written(self._lease, written.revision, record)
