"""Logs crashes of endpoints, and the requests that are refused for them."""

import collections
import logging

from mulberrypick.adapters import logs
from mulberrypick.core import crash_exchange
from mulberrypick.core import quarantine
from mulberrypick.ops import call_log

_log = logging.getLogger(__name__)
# Crashes and refused requests of which it is known that they were logged.
MAX_LOGGED = 1000


class CrashLog:
  """Logs each crash and each refusal once."""

  def __init__(self, known: quarantine.Quarantine):
    self._quarantine = known
    self._logged: collections.OrderedDict[object, None] = (
        collections.OrderedDict()
    )

  def record(
      self, added: list[crash_exchange.NewInvolvement], now: float
  ) -> None:
    """Logs crashes that were not known, and requests that are now refused.

    Args:
      added: What was added to the evidence.
      now: Time on the event loop's clock.
    """
    for fingerprint, crash in added:
      source = crash.involved_by_hash[fingerprint].source or 'own'
      if self._is_first((crash.key, crash.disproved_at)):
        endpoint, started_ms = crash.key
        logs.log_event(
            _log,
            logging.INFO,
            'endpoint_crashed',
            endpoint=endpoint,
            started_ms=started_ms,
            age_s=round(now - crash.began_at, 3),
            source=source,
        )
      verdict = self._quarantine.verdict(fingerprint, now)
      if verdict == quarantine.REFUSED and self._is_first(fingerprint):
        self._log_refusal(fingerprint)

  def _log_refusal(self, fingerprint: int) -> None:
    crashes = []
    for crash in self._quarantine.crashes(fingerprint):
      endpoint, started_ms = crash.key
      source = crash.involved_by_hash[fingerprint].source or 'own'
      crashes.append(f'{endpoint}/{started_ms}:{source}')
    logs.log_event(
        _log,
        logging.INFO,
        'request_quarantined',
        request_hash=call_log.format_hash(fingerprint),
        crashes=','.join(crashes),
    )

  def _is_first(self, item: object) -> bool:
    if item in self._logged:
      return False
    self._logged[item] = None
    if len(self._logged) > MAX_LOGGED:
      self._logged.popitem(last=False)
    return True
