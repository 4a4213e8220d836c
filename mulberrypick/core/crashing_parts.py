"""Parts of prompts that may crash the endpoints that write on them."""

from collections.abc import Iterable

from mulberrypick.core import gateway_records

# Parts of one request that are looked at: the first ones.
MAX_PARTS = 16


def candidate_keys(
    parts: tuple[gateway_records.PromptPart, ...],
) -> frozenset[int]:
  """Returns the keys of the parts of a prompt that may crash endpoints.

  The last part belongs to the request itself or to its session.
  """
  return frozenset(part.key for part in parts[:-1][:MAX_PARTS])


def format_keys(keys: Iterable[int]) -> str:
  """Returns keys of parts as they are logged, each with 8 hex digits."""
  return ','.join(f'{key:08x}' for key in sorted(keys))
