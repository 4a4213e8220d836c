"""Interface to plain services, independent of the wire format."""

import abc

from mulberrypick.core import records


class PlainService(abc.ABC):
  """Client of plain services, which are services other than model engines.

  Examples are a booking desk and a stock check. Each call opens a new
  connection and never retries, so the error that it raises states exactly what
  happened to this single attempt.
  """

  @abc.abstractmethod
  def call(
      self,
      endpoint: str,
      address: str,
      call: records.PlainCall,
      timeout_s: float,
  ) -> records.PlainAnswer:
    """Sends a call to an endpoint once, and returns the complete answer.

    Raises:
      EndpointUnreachableError: No byte was sent.
      EndpointDrainingError: The endpoint is draining and did not run the call.
      EndpointFailedError: Bytes were sent and no complete response arrived.
    """
