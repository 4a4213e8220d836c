"""Ends requests that a process which shuts down can't serve."""

from collections.abc import Callable

from mulberrypick.core import placements
from mulberrypick.ops import forward_server
from mulberrypick.ops import next_run
from mulberrypick.ops import stop_guard


class StopEnd:
  """How one request ends if this process can't serve it before it exits."""

  def __init__(
      self,
      next_: next_run.NextRun,
      forwarded: forward_server.ForwardedCaller | None,
      log: Callable[[str, str], None],
      refuse: Callable[[placements.Refusal], None],
      fail: Callable[[int, str], None],
  ):
    """Creates the end of a request.

    Args:
      next_: The runs of the request.
      forwarded: The caller if it is that of another host, None otherwise.
      log: Logs the outcome of the request, and its reason.
      refuse: Refuses the request, which did not run.
      fail: Fails the request, which may have run, with a status and a reason.
    """
    self._next = next_
    self._forwarded = forwarded
    self._log = log
    self._refuse = refuse
    self._fail = fail

  def end(self, is_sending: bool) -> None:
    """Ends the request; the host that passed it on, if any, finds another one.

    Args:
      is_sending: Whether it is under way at an endpoint or another host.
    """
    if self._forwarded is not None:
      self._return_to_host(self._forwarded, is_sending)
      return
    if self._next.runs or is_sending:
      self._fail(502, stop_guard.STOPPING)
      return
    self._refuse(
        placements.Refusal(stop_guard.STOPPING, stop_guard.RETRY_AFTER_S)
    )

  def _return_to_host(
      self, forwarded: forward_server.ForwardedCaller, is_sending: bool
  ) -> None:
    """Declines a request of another host, or breaks it off if it may run."""
    if self._next.runs > forwarded.origin.runs or is_sending:
      self._log('cut', stop_guard.STOPPING)
      forwarded.abort()
      return
    self._log('refused', stop_guard.STOPPING)
    forwarded.decline(forward_server.LEAVING, self._next.has_sent)
