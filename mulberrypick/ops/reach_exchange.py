"""Tells other hosts whether this one reaches endpoints, and learns it of them.

In a large fleet a member hears its relay only. If it is cut off, the relay
tells it of other hosts that help.
"""

from mulberrypick.core import endpoint_reach
from mulberrypick.core import helper_choice
from mulberrypick.ops import gateway_state
from mulberrypick.ops import peer_message

# Interval between two reports while nothing changes.
REPORT_INTERVAL_S = 0.25
APART_STATES = (
    endpoint_reach.Reach.APART.value,
    endpoint_reach.Reach.RETURNING.value,
)
# Time since an endpoint was reached that stands for any longer one.
MAX_REPORTED_AGE_S = 1000.0
# Helpers that a relay reports to a member.
MAX_HELPERS = 6


class ReachExchange:
  """Reports of this host, and those of others."""

  def __init__(self, state: gateway_state.GatewayState):
    self._state = state
    self._sent_at = float('-inf')
    self._sent_state: str | None = None
    # When a host that suspects to be cut off last asked for a report.
    self._asked_at = float('-inf')

  def fill_message(self, message: peer_message.PeerMessage, now: float) -> None:
    """Adds a report if one is due or the state has changed."""
    known = self._state.reach.known
    is_due = now - self._sent_at >= REPORT_INTERVAL_S
    is_owed = self._sent_at < self._asked_at <= known.reached_at
    if not (is_due or is_owed) and known.state.value == self._sent_state:
      return
    self._sent_at, self._sent_state = now, known.state.value
    message.reach = self._make_report(now)

  def helpers_for(
      self, member: peer_message.PeerMessage, now: float
  ) -> peer_message.ReachReport | None:
    """Returns the report to a member that may be cut off, None for others.

    Args:
      member: The last message of the member.
      now: Time on the event loop's clock.
    """
    found = self._state.helpers.find(member.host)
    if found is None or found.is_sure:
      return None
    helpers = self._state.helpers.usable(now)
    # Those in the zone of the member come first, then those with little to do.
    helpers.sort(key=lambda helper: (helper.zone != member.zone, helper.taken))
    reports = []
    for helper in helpers[:MAX_HELPERS]:
      reports.append(
          peer_message.HelperReport(
              helper.name,
              helper.zone,
              helper.ip,
              helper.port,
              helper.taken,
              round(now - helper.reached_at, 3),
          )
      )
    return self._make_report(now)._replace(helpers=tuple(reports))

  def handle_message(
      self, message: peer_message.PeerMessage, now: float
  ) -> None:
    """Handles the report in the message of another host."""
    if message.reach is not None:
      self._handle_report(message, message.reach, now)
    if message.is_leaving:
      self._state.helpers.mark_leaving(message.host, now)

  def _handle_report(
      self,
      message: peer_message.PeerMessage,
      report: peer_message.ReachReport,
      now: float,
  ) -> None:
    state = self._state
    self._update(
        peer_message.HelperReport(
            message.host,
            message.zone,
            message.address.rpartition(':')[0],
            report.port,
            report.taken,
            report.reached_age_s,
        ),
        report.state,
        now,
    )
    for helper in report.helpers:
      if helper.host != state.host.name:
        self._update(helper, endpoint_reach.Reach.CONNECTED.value, now)
    if report.state == endpoint_reach.Reach.SUSPECTED.value:
      self._asked_at = now
      state.reach.known.ask()

  def _update(
      self,
      report: peer_message.HelperReport,
      state: str,
      now: float,
  ) -> None:
    reached_at = now - report.reached_age_s
    self._state.helpers.update(
        helper_choice.Helper(
            report.host,
            report.ip,
            report.port,
            report.zone,
            report.taken,
            # A suspicion is mostly the failure of a single endpoint.
            state not in APART_STATES,
            reached_at,
            now,
            state == endpoint_reach.Reach.CONNECTED.value,
        )
    )
    self._state.reach.record_peer(reached_at)

  def _make_report(self, now: float) -> peer_message.ReachReport:
    state = self._state
    known = state.reach.known
    age_s = min(now - known.reached_at, MAX_REPORTED_AGE_S)
    return peer_message.ReachReport(
        known.state.value,
        round(age_s, 3),
        state.host.forward_port,
        state.taken,
    )
