"""Encodes evidence of crashes for the store, by which hosts exchange it.

The content is msgpack in base64: hashes of requests have 64 bits, more than a
number in the store's JSON holds exactly.
"""

import base64
import logging
from typing import Any
from typing import NamedTuple

import msgspec

from mulberrypick.adapters import logs
from mulberrypick.core import crash_exchange
from mulberrypick.core import part_exchange
from mulberrypick.platform import fields

_log = logging.getLogger(__name__)


class Evidence(NamedTuple):
  """What a host reports of crashes.

  Attributes:
    crash_news: Crashes, with the requests that ran there.
    part_news: Crashes, with the prompt parts that were there.
  """

  crash_news: crash_exchange.CrashNews = crash_exchange.CrashNews()
  part_news: part_exchange.PartNews = part_exchange.PartNews()

  def is_empty(self) -> bool:
    """Returns whether there is nothing to report."""
    return not any((*self.crash_news, *self.part_news))


_decoder = msgspec.msgpack.Decoder(list[Evidence])


def encode(evidence: list[Evidence], wall_s: float) -> dict[str, Any]:
  """Encodes what a host reports.

  Args:
    evidence: The reports; their ages are relative to now.
    wall_s: Unix time.

  Returns:
    Content of the object.
  """
  encoded = base64.b64encode(msgspec.msgpack.encode(evidence)).decode()
  return {'writtenAt': round(wall_s, 3), 'evidence': encoded}


def age_s(spec: Any, wall_s: float) -> float | None:
  """Returns the time since an object was written; None if it is malformed."""
  try:
    return max(0.0, wall_s - fields.read_number(spec, 'writtenAt'))
  except fields.MALFORMED:
    return None


def decode(name: str, spec: Any, wall_s: float) -> list[Evidence]:
  """Decodes what another host reports.

  Args:
    name: Name of the object, that of the host.
    spec: Its content.
    wall_s: Unix time.

  Returns:
    The reports, empty if the object is malformed; ages are relative to now.
  """
  age = age_s(spec, wall_s)
  try:
    if age is None:
      raise ValueError('field "writtenAt" is no number')
    encoded = fields.read_text(spec, 'evidence')
    found = _decoder.decode(base64.b64decode(encoded, validate=True))
  except fields.MALFORMED as error:
    logs.log_event(
        _log,
        logging.WARNING,
        'evidence_malformed',
        name=name,
        error=fields.describe(error),
    )
    return []
  return [_add_age(evidence, age) for evidence in found]


def _add_age(evidence: Evidence, age: float) -> Evidence:
  crash_news, part_news = evidence
  return Evidence(
      crash_exchange.CrashNews(
          _older(crash_news.crashes, age),
          _older(crash_news.cleared, age),
          _older(crash_news.withdrawn, age),
      ),
      part_exchange.PartNews(
          _older(part_news.crashes, age),
          _older(part_news.cleared, age),
          _older(part_news.withdrawn, age),
      ),
  )


def _older(reports: tuple[Any, ...], age: float) -> tuple[Any, ...]:
  return tuple(r._replace(age_s=r.age_s + age) for r in reports)
