"""A request on a kept channel reaches a replica late in a stop, and is cut."""

import asyncio
import pathlib
import signal

from review.shared import case
from review.shared import gateway
from review.shared import replica
from review.shared import requester

# As the requests `chapter-quick-answer`: 15 s to answer, pauses of 150 ms.
ROUTE_TIMEOUT_MS = 15000
EVENTS = 50
GAP_S = 0.1
REQUESTERS = 6
# They begin one after the other.
STAGGER_S = 0.037
# SIGTERM comes while the first streams last: they begin before it and end
# later than 3 s after it, before the last sixth of the time to stop.
TERM_AFTER_S = 1.2
STOP_S = 9.5
# A request that was sent later than this after SIGTERM is not excused.
EXCUSED_SENT_S = 3.0


async def _keep_sending(
    number: int, channel: requester.Channel, stop: asyncio.Event
) -> list[requester.Attempt]:
  """Sends one request after the other on one channel, until it is closed."""
  await asyncio.sleep(number * STAGGER_S)
  await channel.open()
  attempts = []
  while channel.is_open and not stop.is_set():
    attempts.append(
        await channel.send(
            f'r{number}-{len(attempts)}',
            'POST',
            '/quick/2f',
            ROUTE_TIMEOUT_MS,
            [
                ('X-Mulberrypick-Model', 'm'),
                ('X-Mulberrypick-Token-Usage', f'220,{EVENTS}'),
                (
                    'X-Mulberrypick-Prefix-Hash',
                    f'5c1e07a2:79,91bd3f{number:02x}:141',
                ),
            ],
            b'x' * 440,
        )
    )
  channel.close()
  return attempts


def _is_lost(
    attempt: requester.Attempt, deployment: case.Deployment, term_at: float
) -> bool:
  """Returns whether the loss of an answer breaks the rule."""
  if attempt.is_complete:
    return False
  if attempt.sent_at <= term_at + EXCUSED_SENT_S:
    # Such a request is excused if its replica worked in the last sixth of the
    # time to stop; here it is not counted at all.
    return False
  end_at = term_at + gateway.BOUNDS['graceS'] + 1.0
  if attempt.ended_at > end_at:
    return False
  # It was passed on to a replica, which did not break off.
  return any(
      item.runs.get(attempt.request) for item in deployment.replicas.values()
  )


async def play(deployment: case.Deployment) -> bool:
  """Plays the case; returns whether the rule held."""
  replicas = []
  for number in (1, 2):
    item = replica.Replica(f'i-engine-{number}', 'engine', 'oita', 'decode')
    item.events, item.gap_s = EVENTS, GAP_S
    replicas.append(item)
  route = case.make_route(
      'quick',
      'streaming',
      'engine',
      timeoutMs=ROUTE_TIMEOUT_MS,
      targetLatencyMs=400,
      gapTargetMs=150,
  )
  await deployment.start(
      case.make_config([route]), replicas, ['fukuoka', 'oita']
  )
  await asyncio.sleep(3.5)
  stopped = deployment.gateways[0]
  stop = asyncio.Event()
  sending = [
      asyncio.create_task(
          _keep_sending(
              number,
              requester.Channel(stopped.name, stopped.ip, stopped.front_port),
              stop,
          )
      )
      for number in range(REQUESTERS)
  ]
  await asyncio.sleep(TERM_AFTER_S)
  term_at = asyncio.get_running_loop().time()
  if deployment.has_trouble:
    term_at = stopped.send_signal(signal.SIGTERM)
    deployment.note(f'SIGTERM to {stopped.name}')
  await asyncio.sleep(STOP_S)
  if deployment.has_trouble:
    deployment.note(f'{stopped.name} has ended: {stopped.has_ended}')
  stop.set()
  attempts = [a for done in await asyncio.gather(*sending) for a in done]
  deployment.note_attempts(attempts)
  incomplete = [a for a in attempts if not a.is_complete]
  if not deployment.has_trouble:
    return not incomplete
  lost = [a for a in incomplete if _is_lost(a, deployment, term_at)]
  deployment.note(f'{len(attempts)} requests, {len(lost)} lost')
  for attempt in lost:
    deployment.note(
        f'lost: {attempt.request}, sent'
        f' {attempt.sent_at - term_at:.3f} s after SIGTERM, ended'
        f' {attempt.ended_at - term_at:.3f} s after it'
    )
  return not lost


if __name__ == '__main__':
  case.run(pathlib.Path(__file__).parent, play)
