"""Collects signs of crashed endpoints for the quarantine, and logs them."""

import asyncio
import collections
import logging

from mulberrypick.adapters import logs
from mulberrypick.core import crash_evidence
from mulberrypick.core import crash_exchange
from mulberrypick.core import crashing_parts
from mulberrypick.core import endpoint_registry
from mulberrypick.core import open_ended_answers
from mulberrypick.core import quarantine
from mulberrypick.core import unanswered_attempts
from mulberrypick.ops import call_log
from mulberrypick.ops import part_watch

_log = logging.getLogger(__name__)
# Crashes and refused requests of which it is known that they were logged.
MAX_LOGGED = 1000
# Limits the time spent on logging: at 0.1 ms per line, 0.2% of a core.
MAX_LINES_PER_S = 20
# Refusals that wait to be written to the store.
MAX_NEW_REFUSALS = 100
# An incarnation that the store still lists this long after a crash has not
# crashed: entries expire after three missed heartbeats of 1.2 s, and a host
# that does not watch the store reads it every 15 s.
MAX_LISTED_AFTER_CRASH_S = 20.0


class CrashWatch:
  """Collects the signs of crashes; logs each crash and each refusal once.

  Attributes:
    parts: Judges the parts of prompts by the same crashes.
    new_refusals: Requests that are refused because of crashes of which this
      host saw one, and changes of such refusals by parts, to be written to the
      store.
  """

  def __init__(self, known: quarantine.Quarantine):
    self._quarantine = known
    self.parts = part_watch.PartWatch(self.add_refusal, self._update_explained)
    self._unanswered = unanswered_attempts.UnansweredAttempts()
    self._open_ended = open_ended_answers.OpenEndedAnswers()
    self._logged: collections.OrderedDict[object, None] = (
        collections.OrderedDict()
    )
    self._log_second = 0
    self._lines = 0
    self._suppressed = 0
    self.new_refusals: asyncio.Queue[int | part_watch.RefusalChange] = (
        asyncio.Queue(MAX_NEW_REFUSALS)
    )

  def record_break(
      self,
      key: crash_evidence.IncarnationKey,
      fingerprint: int,
      has_token: bool,
      now: float,
      parts: frozenset[int] = frozenset(),
  ) -> None:
    """Records an attempt whose connection broke off.

    Args:
      key: Name and start of the endpoint.
      fingerprint: Hash of the request's content.
      has_token: Whether the attempt had generated a token.
      now: Time on the event loop's clock.
      parts: Parts of its prompt that may crash endpoints.
    """
    self._add_ended(key, self._open_ended.record_crash(key, now), now)
    self.parts.record_crash(key, fingerprint, parts, now, now)
    added = self._quarantine.record_broken_attempt(
        *key, fingerprint, has_token, now
    )
    self._log_added(added, now)

  def record_unanswered(
      self,
      key: crash_evidence.IncarnationKey,
      fingerprint: int,
      has_token: bool,
      now: float,
      parts: frozenset[int] = frozenset(),
  ) -> None:
    """Records an attempt that was given up on an open connection.

    Args:
      key: Name and start of the endpoint.
      fingerprint: Hash of the request's content.
      has_token: Whether a part of the answer had arrived.
      now: Time on the event loop's clock.
      parts: Parts of its prompt that may crash endpoints.
    """
    attempt = unanswered_attempts.UnansweredAttempt(
        fingerprint, has_token, now, parts
    )
    if not self._unanswered.add(key, attempt):
      self._add_crash(key, [attempt], now)

  def record_response(
      self,
      key: crash_evidence.IncarnationKey,
      connected_at: float,
      sent_at: float,
      is_listed: bool,
      now: float,
  ) -> None:
    """Records that an endpoint responded to a request.

    Args:
      key: Name and start of the endpoint.
      connected_at: When the connection was opened.
      sent_at: When the request was sent.
      is_listed: Whether the store would have listed a later start of the
        endpoint if there had been one before the connection was opened.
      now: Time on the event loop's clock.
    """
    self._unanswered.record_response(key, connected_at)
    known_since = float('-inf') if is_listed else connected_at
    for answer in self._open_ended.record_alive(key, now, known_since):
      self._clear(answer, now)
    self._disprove(key, 'response', sent_at, known_since, now)

  def record_completion(
      self,
      key: crash_evidence.IncarnationKey,
      answer: open_ended_answers.CompleteAnswer,
      is_open_ended: bool,
      now: float,
  ) -> None:
    """Records an answer that seems to be complete.

    Args:
      key: Name and start of the endpoint.
      answer: The answer.
      is_open_ended: Whether its end was the end of its connection.
      now: Time on the event loop's clock.
    """
    if not is_open_ended:
      self._clear(answer, now)
    elif not self._open_ended.add(key, answer):
      self._add_ended(key, [answer], now)

  def expire(self, now: float) -> None:
    """Forgets expired suspects and refusals."""
    self._quarantine.expire(now)
    self._open_ended.expire(now)
    self.parts.expire(now)

  def record_listed(
      self,
      endpoints: endpoint_registry.EndpointRegistry,
      contact_since: float,
      now: float,
  ) -> None:
    """Withdraws crashes of incarnations that the store has listed for long.

    Args:
      endpoints: The endpoints that the store lists.
      contact_since: Start of the current contact with the store.
      now: Time on the event loop's clock.
    """
    began_at_by_key = {}
    for crash in (*self._quarantine.all_crashes(), *self.parts.all_crashes()):
      began_at_by_key[crash.key] = crash.began_at
    for key, began_at in began_at_by_key.items():
      listed = endpoints.find(key[0])
      if listed is None or listed.incarnation != key:
        continue
      if now - max(began_at, contact_since) > MAX_LISTED_AFTER_CRASH_S:
        self._disprove(key, 'listed', now, float('-inf'), now)

  def _disprove(
      self,
      key: crash_evidence.IncarnationKey,
      reason: str,
      alive_at: float,
      known_since: float,
      now: float,
  ) -> None:
    self.parts.record_alive(key, alive_at, known_since, now)
    involved = self._quarantine.record_alive(*key, alive_at, known_since)
    if not involved:
      return
    endpoint, started_ms = key
    self._log_event(
        now,
        'crash_disproved',
        endpoint=endpoint,
        started_ms=started_ms,
        reason=reason,
        requests=len(involved),
    )
    for fingerprint in involved:
      self._logged.pop(fingerprint, None)

  def record_end(self, key: crash_evidence.IncarnationKey, now: float) -> None:
    """Records that the store dropped an endpoint that was not leaving."""
    self._add_crash(key, self._unanswered.record_end(key, now), now)
    self._add_ended(key, self._open_ended.record_end(key, now), now)

  def withdraw_own(self, since: float, now: float) -> None:
    """Withdraws the crashes that only this host saw since a time."""
    self._unanswered.drop_since(since)
    self.parts.withdraw_own(since, now)
    withdrawn = self._quarantine.withdraw_own(since, now)
    for fingerprint in withdrawn:
      if fingerprint in self._logged:
        # It was refused, and is removed from the store.
        del self._logged[fingerprint]
        self.add_refusal(fingerprint)
    if withdrawn:
      self._log_event(now, 'crashes_withdrawn', requests=len(withdrawn))

  def repeat_soon(self, now: float) -> bool:
    """Repeats the evidence in the next message, for a host that starts."""
    of_requests = self._quarantine.exchange.repeat_soon(now)
    return self.parts.repeat_soon(now) or of_requests

  def merge_news(
      self,
      news: crash_exchange.CrashNews,
      source: str,
      is_forwarded: bool,
      now: float,
  ) -> None:
    """Merges what another host reports.

    Args:
      news: What the host reports.
      source: Name of the host.
      is_forwarded: Whether this host forwards it, as a relay does.
      now: Time on the event loop's clock.
    """
    added = self._quarantine.exchange.merge(news, source, is_forwarded, now)
    self._log_added(added, now)

  def repeat_refusals(self, now: float) -> int:
    """Writes the refusals of this host to the store again; returns how many."""
    count = 0
    for fingerprint in self._quarantine.refused(now):
      if any(
          crash.involved_by_hash[fingerprint].is_own
          for crash in self._quarantine.crashes(fingerprint)
      ):
        self.add_refusal(fingerprint)
        count += 1
    return count + self.parts.repeat_own_refusals()

  def add_refusal(self, refused: int | part_watch.RefusalChange) -> None:
    """Adds a refusal to be written to the store, or removed if withdrawn."""
    try:
      self.new_refusals.put_nowait(refused)
    except asyncio.QueueFull:
      if isinstance(refused, part_watch.RefusalChange):
        fields = {'parts': crashing_parts.format_keys(refused.keys)}
      else:
        fields = {'request_hash': call_log.format_hash(refused)}
      logs.log_event(_log, logging.WARNING, 'refusal_not_stored', **fields)

  def _update_explained(self, now: float) -> None:
    """Releases requests beside which refused parts crashed endpoints."""
    explained = tuple(r.explain() for r in self.parts.refusals())
    if not self._quarantine.set_explained(explained):
      return
    for item in list(self._logged):
      if not isinstance(item, int) or not self._quarantine.is_explained(item):
        continue
      del self._logged[item]
      self._log_event(
          now,
          'request_released',
          request_hash=call_log.format_hash(item),
          reason='parts_refused',
      )

  def _add_crash(
      self,
      key: crash_evidence.IncarnationKey,
      attempts: list[unanswered_attempts.UnansweredAttempt],
      now: float,
  ) -> None:
    for attempt in attempts:
      self.parts.record_crash(
          key, attempt.fingerprint, attempt.parts, attempt.ended_at, now
      )
      added = self._quarantine.record_crash(
          *key, attempt.fingerprint, attempt.has_token, attempt.ended_at
      )
      self._log_added(added, now)

  def _add_ended(
      self,
      key: crash_evidence.IncarnationKey,
      answers: list[open_ended_answers.CompleteAnswer],
      now: float,
  ) -> None:
    """Adds answers that a crash may have ended."""
    for answer in answers:
      self.parts.record_crash(
          key, answer.fingerprint, answer.parts, answer.ended_at, now, True
      )
      added = self._quarantine.record_crash(
          *key, answer.fingerprint, True, answer.ended_at
      )
      self._log_added(added, now)

  def _clear(
      self, answer: open_ended_answers.CompleteAnswer, now: float
  ) -> None:
    """Clears a request and its parts of earlier crashes."""
    self._quarantine.record_completion(answer.fingerprint, answer.ended_at)
    self.parts.record_completion(answer.parts, answer.began_at, now)

  def _log_added(
      self, added: list[crash_exchange.NewInvolvement], now: float
  ) -> None:
    """Logs crashes that were not known, and requests that are now refused."""
    for fingerprint, crash in added:
      if fingerprint not in crash.involved_by_hash:
        # It was dropped for others that were added with it.
        continue
      if self._is_first((crash.key, crash.disproved_at)):
        endpoint, started_ms = crash.key
        self._log_event(
            now,
            'endpoint_crashed',
            endpoint=endpoint,
            started_ms=started_ms,
            age_s=round(now - crash.began_at, 3),
            source=_source(crash, fingerprint),
        )
      is_refused = self._quarantine.is_refused(fingerprint, now)
      if is_refused and self._is_first(fingerprint):
        self._log_refusal(fingerprint, now)
        if any(
            crash.involved_by_hash[fingerprint].is_own
            for crash in self._quarantine.crashes(fingerprint)
        ):
          self.add_refusal(fingerprint)

  def _log_refusal(self, fingerprint: int, now: float) -> None:
    crashes = []
    for crash in self._quarantine.crashes(fingerprint):
      endpoint, started_ms = crash.key
      source = _source(crash, fingerprint)
      crashes.append(f'{endpoint}/{started_ms}:{source}')
    self._log_event(
        now,
        'request_quarantined',
        request_hash=call_log.format_hash(fingerprint),
        crashes=','.join(crashes),
    )

  def _log_event(self, now: float, event: str, **fields: object) -> None:
    """Logs an event unless the rate limit is reached."""
    if int(now) != self._log_second:
      if self._suppressed:
        logs.log_event(
            _log, logging.INFO, 'crash_lines_left_out', count=self._suppressed
        )
      self._log_second, self._lines, self._suppressed = int(now), 0, 0
    if self._lines >= MAX_LINES_PER_S:
      self._suppressed += 1
      return
    self._lines += 1
    logs.log_event(_log, logging.INFO, event, **fields)

  def _is_first(self, item: object) -> bool:
    if item in self._logged:
      return False
    self._logged[item] = None
    if len(self._logged) > MAX_LOGGED:
      self._logged.popitem(last=False)
    return True


def _source(crash: crash_evidence.Crash, fingerprint: int) -> str:
  involved = crash.involved_by_hash[fingerprint]
  return 'own' if involved.is_own else involved.source
