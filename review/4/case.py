"""A stop ends while an answer is still being written to its requester."""

import asyncio
import pathlib
import signal
import socket
import time

from review.shared import case
from review.shared import gateway
from review.shared import replica
from review.shared import requester
from review.shared import wire

TIMEOUT_MS = 15000
ANSWER_BYTES = 15 << 20
# A link of 16 Mbit/s, and a small window.
BYTES_PER_S = 2_000_000
WINDOW_BYTES = 65536
REQUESTERS = 4
TERM_AFTER_S = 1.0


class _Download:
  """One request on a slow link, and what its requester saw.

  Attributes:
    request: Its id.
    sent_at: When it was sent, on the monotonic clock.
    status: Status of the answer, 0 for none.
    length: Length of the body that the answer states.
    received: Bytes of the body that arrived.
    ended_at: When it ended.
  """

  def __init__(self, number: int):
    self.request = f'r{number}'
    self.sent_at = 0.0
    self.status = 0
    self.length = 0
    self.received = 0
    self.ended_at = 0.0

  @property
  def is_complete(self) -> bool:
    """Whether the whole body arrived."""
    return 0 < self.length == self.received

  async def run(self, host: gateway.Gateway) -> None:
    """Sends the request and reads its answer at the speed of the link."""
    sock = socket.socket()
    sock.setsockopt(socket.SOL_SOCKET, socket.SO_RCVBUF, WINDOW_BYTES)
    sock.setblocking(False)
    loop = asyncio.get_running_loop()
    await loop.sock_connect(sock, (host.ip, host.front_port))
    reader, writer = await asyncio.open_connection(
        sock=sock, limit=WINDOW_BYTES
    )
    lines = [
        ('Host', requester.HOSTNAME),
        ('X-Mulberrypick-Request-Id', self.request),
        ('X-Mulberrypick-Deadline-Ms', str(TIMEOUT_MS)),
    ]
    writer.write(wire.encode_request('GET', '/stock/2f', lines, b''))
    self.sent_at = time.monotonic()
    try:
      head = await wire.read_head(reader)
      self.status = int(head.start[1])
      self.length = int(head.headers['content-length'])
      began_at = time.monotonic()
      while self.received < self.length:
        data = await reader.read(16384)
        if not data:
          break
        self.received += len(data)
        ahead_s = self.received / BYTES_PER_S - (time.monotonic() - began_at)
        await asyncio.sleep(max(0.0, ahead_s))
    except (ConnectionError, wire.NoMessageError):
      # What has arrived so far is the answer.
      pass
    self.ended_at = time.monotonic()
    writer.close()


async def play(deployment: case.Deployment) -> bool:
  """Plays the case; returns whether the rule held."""
  replicas = []
  for number in (1, 2):
    item = replica.Replica(f'i-desk-{number}', 'desk', 'oita')
    item.answer = b'x' * ANSWER_BYTES
    replicas.append(item)
  route = case.make_route(
      'stock', 'safe', 'desk', timeoutMs=TIMEOUT_MS, maxAttempts=2
  )
  await deployment.start(
      case.make_config([route]), replicas, ['fukuoka', 'oita']
  )
  await asyncio.sleep(3.5)
  stopped = deployment.gateways[0]
  downloads = [_Download(number) for number in range(REQUESTERS)]
  running = [asyncio.create_task(item.run(stopped)) for item in downloads]
  await asyncio.sleep(TERM_AFTER_S)
  term_at = time.monotonic()
  if deployment.has_trouble:
    term_at = stopped.send_signal(signal.SIGTERM)
    deployment.note(f'SIGTERM to {stopped.name}')
    await stopped.wait()
    deployment.note(f'{stopped.name} has ended')
  await asyncio.gather(*running)
  for item in downloads:
    runs = [r for x in replicas for r in x.runs.get(item.request, ())]
    deployment.note(
        f'request {item.request}: sent {item.sent_at - term_at:.3f} s after'
        f' SIGTERM, status {item.status}, {item.received} of {item.length}'
        f' bytes, ended {item.ended_at - term_at:.3f} s after SIGTERM; replica'
        f' {", ".join(run.replica for run in runs)} had finished'
        f' {runs[0].ended_at - term_at:.3f} s after SIGTERM'
    )
  lost = [item for item in downloads if not item.is_complete]
  deployment.note(f'{len(downloads)} requests, {len(lost)} lost')
  return not lost


if __name__ == '__main__':
  case.run(pathlib.Path(__file__).parent, play)
