"""The retries that the settings of a gateway allow."""

from typing import NamedTuple


class RetryBound(NamedTuple):
  """The retries that the settings of a gateway allow.

  Attributes:
    ratio: Retries allowed per request.
    slack: Further retries allowed per window.
  """

  ratio: float
  slack: float
