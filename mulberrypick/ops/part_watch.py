"""Refuses requests with prompt parts that crash endpoints, and logs why.

Requests with refused parts run nowhere, so that nothing would show that the
parts are sound or have become so. After a while without a crash one host lets
one of them through.
"""

import logging
from collections.abc import Callable
from typing import NamedTuple

from mulberrypick.adapters import logs
from mulberrypick.core import crash_evidence
from mulberrypick.core import crashing_parts
from mulberrypick.core import gateway_records
from mulberrypick.core import part_evidence
from mulberrypick.core import part_exchange

_log = logging.getLogger(__name__)
# Interval between the turns of two hosts to let a request through.
PROBE_TURN_S = 5.0
# Limits the time spent on logging: at 0.1 ms per line, 0.1% of a core.
MAX_LINES_PER_S = 10
# Crashes that are named in the log line of one refusal.
MAX_LOGGED_CRASHES = 16

Refusal = crashing_parts.PartRefusal


class RefusalChange(NamedTuple):
  """A set of parts that is refused, or not any more.

  Attributes:
    keys: The parts.
    is_refused: Whether they are refused from now on.
  """

  keys: frozenset[int]
  is_refused: bool


class _Probe(NamedTuple):
  """A request with refused parts that was let through.

  Attributes:
    request: Id of the request; the caller makes a new one for a retry.
    sent_at: When it was let through.
  """

  request: str
  sent_at: float


class PartWatch:
  """Judges the parts of requests by the evidence of all hosts."""

  def __init__(
      self,
      on_change: Callable[[RefusalChange], None] | None = None,
      on_update: Callable[[float], None] | None = None,
  ):
    """Creates a watch.

    Args:
      on_change: Called with changes of refusals because of crashes of which
        this host saw one.
      on_update: Called with the time when the refusals, or the crashes behind
        them, may have changed.
    """
    self._on_change = on_change
    self._on_update = on_update
    self._own_refusals: set[frozenset[int]] = set()
    self._evidence = part_evidence.PartEvidence()
    self._exchange = part_exchange.PartExchange(self._evidence)
    self._refusal_by_keys: dict[frozenset[int], Refusal] = {}
    self._learned_at: dict[frozenset[int], float] = {}
    self._probe_by_keys: dict[frozenset[int], _Probe] = {}
    self._log_second = 0
    self._lines = 0
    self._suppressed = 0

  def record_crash(
      self,
      key: crash_evidence.IncarnationKey,
      request: int,
      parts: frozenset[int],
      at: float,
      now: float,
      is_doubtful: bool = False,
  ) -> None:
    """Records a request of this host that ran on a crashed endpoint.

    Args:
      key: Name and start of the endpoint.
      request: Hash of the request's content.
      parts: Its parts without the last one.
      at: When its attempt ended, on the event loop's clock.
      now: Time on the event loop's clock.
      is_doubtful: Whether its answer may have been complete by then.
    """
    # Reports identify requests by 32 bits.
    run = part_evidence.EndedRun(request & 0xFFFFFFFF, parts, at, is_doubtful)
    if self._evidence.add(key, run, 'own'):
      self._exchange.add_unsent(key, run.request, now)
      self._update('crash', now)

  def record_completion(
      self, parts: frozenset[int], began_at: float, now: float
  ) -> None:
    """Records that an answer was written to its end.

    Args:
      parts: Parts of the request without the last one.
      began_at: When the answer began.
      now: Time on the event loop's clock.
    """
    completion = part_evidence.Completion(began_at, 'own')
    is_changed = False
    for part in parts:
      if self._evidence.record_completion(part, completion):
        self._exchange.add_cleared(part, now)
        is_changed = True
    if is_changed:
      self._update('completed', now)

  def record_alive(
      self,
      key: crash_evidence.IncarnationKey,
      alive_at: float,
      known_since: float,
      now: float,
  ) -> None:
    """Withdraws the crash of an incarnation that was alive after it.

    Args:
      key: Name and start of the endpoint.
      alive_at: Time at which it was known to be alive.
      known_since: Time since when it is known to be the same process.
      now: Time on the event loop's clock.
    """
    if self._evidence.disprove(key, alive_at, known_since):
      self._update('disproved', now)

  def withdraw_own(self, since: float, now: float) -> None:
    """Withdraws the crashes since a time that only this host reported."""
    if self._exchange.withdraw_own(since, now):
      self._update('withdrawn', now)

  def all_crashes(self) -> list[part_evidence.EndpointCrash]:
    """Returns all crashes in which a part may be the cause."""
    return self._evidence.all_crashes()

  def merge_news(
      self,
      news: part_exchange.PartNews,
      source: str,
      is_forwarded: bool,
      now: float,
  ) -> None:
    """Merges what another host reports, see `PartExchange.merge`."""
    if self._exchange.merge(news, source, is_forwarded, now):
      self._update('reported', now)

  def repeat_soon(self, now: float) -> bool:
    """Repeats the evidence in the next message, for a host that starts."""
    return self._exchange.repeat_soon(now)

  def has_unsent(self) -> bool:
    """Returns whether there is anything new for the next message."""
    return self._exchange.has_unsent()

  def take_news(self, now: float) -> part_exchange.PartNews:
    """Returns the news for the next message to other hosts."""
    return self._exchange.take_news(self.refusals(), now)

  def reports_of(
      self, keys: frozenset[int], now: float
  ) -> list[part_exchange.PartCrashReport]:
    """Returns the crashes for which parts are refused, empty if they aren't."""
    refusal = self._refusal_by_keys.get(keys)
    if refusal is None:
      return []
    return self._exchange.reports_of(refusal, now)

  def expire(self, now: float) -> None:
    """Forgets old crashes."""
    if self._evidence.expire(now):
      self._update('expired', now)

  def repeat_own_refusals(self) -> int:
    """Tells the refusals by crashes of this host again; returns how many."""
    for keys in self._own_refusals:
      self._tell_change(RefusalChange(keys, True))
    return len(self._own_refusals)

  def refusals(self) -> list[Refusal]:
    """Returns the sets of parts with which requests are refused."""
    return list(self._refusal_by_keys.values())

  def find_refusal(self, call: gateway_records.Call) -> Refusal | None:
    """Returns why a request must not be sent, None if it may be sent."""
    if not self._refusal_by_keys:
      return None
    parts = crashing_parts.candidate_keys(call.parts)
    for refusal in self._refusal_by_keys.values():
      is_probe = self._is_probe(refusal, call.id)
      if refusal.keys <= parts and not is_probe:
        return refusal
    return None

  def admit(
      self, call: gateway_records.Call, rank: int | None, now: float
  ) -> Refusal | None:
    """Judges a request that arrives; lets a refused one through at times.

    Args:
      call: The request.
      rank: Position of this host among those that take turns; None if it does
        not take part.
      now: Time on the event loop's clock.

    Returns:
      Why it must not be sent, None if it may be sent.
    """
    refusal = self.find_refusal(call)
    if refusal is None or rank is None or not call.id:
      return refusal
    if now < self._probe_at(refusal, rank):
      return refusal
    self._probe_by_keys[refusal.keys] = _Probe(call.id, now)
    self._log_event(
        now,
        'parts_probed',
        parts=crashing_parts.format_keys(refusal.keys),
        request=call.id,
    )
    return self.find_refusal(call)

  def _probe_at(self, refusal: Refusal, rank: int) -> float:
    """Returns when this host may let a request with refused parts through."""
    since = max(refusal.last_crash_at, self._learned_at[refusal.keys])
    probe = self._probe_by_keys.get(refusal.keys)
    if probe is not None:
      since = max(since, probe.sent_at)
    return since + refusal.probe_interval_s + rank * PROBE_TURN_S

  def _is_probe(self, refusal: Refusal, request: str) -> bool:
    probe = self._probe_by_keys.get(refusal.keys)
    return (
        probe is not None
        and probe.request == request
        and probe.sent_at > refusal.last_crash_at
    )

  def _update(self, reason: str, now: float) -> None:
    """Computes the refusals anew and logs what changed."""
    refusal_by_keys = {r.keys: r for r in self._evidence.find_refused()}
    old = self._refusal_by_keys
    self._refusal_by_keys = refusal_by_keys
    for keys, refusal in refusal_by_keys.items():
      if keys not in old:
        self._learned_at[keys] = now
        self._log_refusal(refusal, now)
        if any(self._is_own(crash.key) for crash in refusal.crashes):
          self._own_refusals.add(keys)
          self._tell_change(RefusalChange(keys, True))
    for keys, refusal in old.items():
      if keys in refusal_by_keys:
        continue
      del self._learned_at[keys]
      self._probe_by_keys.pop(keys, None)
      self._log_end(refusal, reason, now)
      if keys in self._own_refusals:
        self._own_refusals.remove(keys)
        self._tell_change(RefusalChange(keys, False))
    if self._on_update is not None and (old or refusal_by_keys):
      self._on_update(now)

  def _is_own(self, key: crash_evidence.IncarnationKey) -> bool:
    crash = self._evidence.find(key)
    return crash is not None and crash.is_own

  def _tell_change(self, change: RefusalChange) -> None:
    if self._on_change is not None:
      self._on_change(change)

  def _log_refusal(self, refusal: Refusal, now: float) -> None:
    crashes = []
    for crash in refusal.crashes[:MAX_LOGGED_CRASHES]:
      endpoint, started_ms = crash.key
      known = self._evidence.find(crash.key)
      crashes.append(f'{endpoint}/{started_ms}:{known.source}')
    self._log_event(
        now,
        'parts_refused',
        parts=crashing_parts.format_keys(refusal.keys),
        requests=refusal.requests,
        crashes=','.join(crashes),
    )

  def _log_end(self, refusal: Refusal, reason: str, now: float) -> None:
    """Logs that parts are not refused any more, and by which evidence."""
    sources = []
    for part in sorted(refusal.keys):
      completion = self._evidence.completion(part)
      if completion is not None and (
          completion.began_at >= refusal.last_crash_at - crashing_parts.SOUND_S
      ):
        key = crashing_parts.format_keys([part])
        sources.append(f'{key}:{completion.source}')
    self._log_event(
        now,
        'parts_refusal_ended',
        parts=crashing_parts.format_keys(refusal.keys),
        reason=reason,
        completed=','.join(sources),
        refused=';'.join(
            crashing_parts.format_keys(keys) for keys in self._refusal_by_keys
        ),
    )

  def _log_event(self, now: float, event: str, **fields: object) -> None:
    """Logs an event unless the rate limit is reached."""
    if int(now) != self._log_second:
      if self._suppressed:
        logs.log_event(
            _log, logging.INFO, 'part_lines_left_out', count=self._suppressed
        )
      self._log_second, self._lines, self._suppressed = int(now), 0, 0
    if self._lines >= MAX_LINES_PER_S:
      self._suppressed += 1
      return
    self._lines += 1
    logs.log_event(_log, logging.INFO, event, **fields)
