"""What the system asks of a plain service, whatever its wire format."""

import abc

from mulberrypick.core import records


class PlainService(abc.ABC):
  """Calls to one plain service endpoint.

  The call makes one connection of its own and never retries, so that what it
  raises is the truth about this one attempt.
  """

  @abc.abstractmethod
  def call(
      self,
      endpoint: str,
      address: str,
      call: records.PlainCall,
      timeout_s: float,
  ) -> records.PlainAnswer:
    """Runs one call.

    Raises:
      EndpointUnreachableError: No byte was sent.
      EndpointDrainingError: The endpoint is leaving and did not run it.
      EndpointFailedError: Bytes were sent and no whole answer came back.
    """
