"""Tests of requests that a gateway without endpoints passes on to others."""

import asyncio
import collections
import logging
import unittest

from mulberrypick.core import endpoint_reach
from mulberrypick.core import placements
from mulberrypick.ops import forward_message
from mulberrypick.ops import forward_server
from mulberrypick.platform import gateway_apart_test
from standins import apart_host
from standins import gateway_cluster

# Time within which a run ends after its caller has left.
MAX_RUN_AFTER_LEAVING_S = 0.5
# Time within which a host notices that a cut has ended.
MAX_RETURN_S = 2.0
MODE = apart_host.CutMode


class PassOnTestCase(gateway_apart_test.ApartTestCase):
  """One of `hosts` gateways is cut off from endpoints and knows it."""

  hosts = 3
  apart = 1
  mode = MODE.REFUSED

  async def asyncSetUp(self):
    await super().asyncSetUp()
    await self.cut_off()

  async def cut_off(self) -> None:
    self.cut(self.mode)
    for number in range(self.apart):
      reach = self.gateways[number].state.reach
      await self.wait_until(lambda r=reach: r.is_apart)

  @property
  def asker(self):
    return self.gateways[0].state

  def taken(self) -> list[int]:
    return [gateway.state.taken_count for gateway in self.gateways]

  async def stop_host(self, number: int) -> None:
    """Ends a gateway abruptly."""
    gateway = self.gateways[number]
    running = self.running_by_name[gateway.state.host.name]
    running.cancel()
    await asyncio.gather(running, return_exceptions=True)
    gateway.close()


class BytesTest(PassOnTestCase):

  async def test_endpoint_gets_the_request_as_its_caller_sent_it(self):
    connection = await gateway_cluster.stream_client.connect(
        '127.0.0.1', self.asker.host.listen_port, 2.0
    )
    headers = [
        (b'Host', gateway_cluster.HOST.encode()),
        (b'X-Mulberrypick-Request-Id', b'r1'),
        (b'X-Mulberrypick-Deadline-Ms', b'1400'),
        (b'X-Own', b'a; b="c"'),
        (b'Content-Type', b'application/x-own'),
    ]
    body = bytes(range(256))
    exchange = gateway_cluster.stream_client.Exchange()
    connection.send(
        gateway_cluster.stream_client.encode_request(
            b'POST', b'/unsafe/x/y?a=%20b&c', headers, body
        ),
        exchange,
    )
    head = await exchange.read_head()
    answer = await exchange.read_all(10_000)
    connection.abort()
    self.assertEqual(head.status, 200)
    name = answer.decode().partition(':')[0]
    replica = self.cluster.replica_by_name[name]
    self.assertEqual(replica.body_by_request['r1'], body)
    self.assertEqual(replica.target_by_request['r1'], '/unsafe/x/y?a=%20b&c')
    seen = replica.headers_by_request['r1']
    self.assertEqual(seen['x-own'], 'a; b="c"')
    self.assertEqual(seen['content-type'], 'application/x-own')
    self.assertNotIn('mulberrypick-forward', str(seen).lower())
    left_ms = int(seen['x-mulberrypick-deadline-ms'])
    self.assertLessEqual(left_ms, 1400)
    self.assertGreater(left_ms, 1000)

  async def test_time_spent_before_passing_on_is_not_given_again(self):
    self.heal()
    await self.wait_until(lambda: not self.asker.reach.is_apart)
    self.cut(MODE.HANGING)
    # Its connection attempts time out before the host is found to be apart.
    answer = await self.send_at(0, 'safe', request='r1')
    self.assertEqual(answer.status, 200)
    for replica in self.cluster.replica_by_name.values():
      if 'r1' in replica.headers_by_request:
        seen = replica.headers_by_request['r1']
        self.assertLess(int(seen['x-mulberrypick-deadline-ms']), 1300)


class SentByHelperTest(PassOnTestCase):
  """A host that took a request is cut off while an engine reads its prompt."""

  apart = 3

  async def cut_off(self) -> None:
    self.links[0].cut(self.mode)
    await self.wait_until(lambda: self.asker.reach.is_apart)
    self.reader = self.cluster.replica_by_name['reader']
    # Prompts have 900 tokens.
    self.reader.behaviour = self.reader.behaviour._replace(rate=3000.0)
    for gateway in self.gateways[1:]:
      self.place_at_reader(gateway.state)

  def place_at_reader(self, state) -> None:
    usual = type(state.placer).place

    def place(call, service, excluded, now):
      found = usual(state.placer, call, service, excluded, now)
      if not isinstance(found, placements.Placement):
        return found
      return found._replace(prefiller=state.endpoints.find('reader'))

    state.placer.place = place

  async def send_and_cut_helper(self) -> gateway_cluster.Answer:
    call = asyncio.create_task(self.send_at(0, 'ask', request='r1'))
    await self.wait_until(lambda: self.reader.arrivals)
    helper = next(n for n, g in enumerate(self.gateways) if g.state.taken)
    self.links[helper].cut(MODE.OLD_ALIVE)
    self.gateways[helper].state.pool.drop('writer-1')
    self.gateways[helper].state.pool.drop('writer-2')
    return await call

  async def test_prompt_is_not_read_again_without_a_retry(self):
    # Fails if a host that had a prompt read says that it sent nothing.
    for gateway in self.gateways:
      now = asyncio.get_running_loop().time()
      while gateway.state.take_retry('engine', now):
        pass
    answer = await self.send_and_cut_helper()
    self.assertEqual(self.reader.arrivals, 1)
    self.assertEqual(answer.status, 503)
    self.assertIn(b'"run":"not_run"', answer.body)

  async def test_request_is_served_by_a_third_host_with_a_retry(self):
    answer = await self.send_and_cut_helper()
    self.assertEqual(answer.status, 200)
    self.assertTrue(answer.is_whole)
    now = asyncio.get_running_loop().time()
    self.assertEqual(self.asker.budget.usage('engine', now).retries, 1)


class AtMostOnceTest(PassOnTestCase):

  async def test_booking_runs_once(self):
    for number in range(20):
      answer = await self.send_at(0, 'unsafe', request=f'b{number}')
      self.assertEqual(answer.status, 200)
      self.assertEqual(self.cluster.runs(f'b{number}'), 1)

  async def test_booking_whose_helper_ends_is_not_called_not_run(self):
    self.cluster.update_behaviour('desk', work_s=0.5)
    call = asyncio.create_task(self.send_at(0, 'unsafe', request='b1'))
    await self.wait_until(lambda: self.cluster.runs('b1') == 1)
    helper = next(n for n, g in enumerate(self.gateways) if g.state.taken)
    await self.stop_host(helper)
    answer = await call
    self.assertEqual(answer.status, 502)
    self.assertEqual(self.cluster.runs('b1'), 1)

  async def test_safe_request_whose_helper_ends_is_served_by_another(self):
    self.cluster.update_behaviour('desk', work_s=0.3)
    call = asyncio.create_task(self.send_at(0, 'safe', request='s1'))
    await self.wait_until(lambda: self.cluster.runs('s1') == 1)
    helper = next(n for n, g in enumerate(self.gateways) if g.state.taken)
    await self.stop_host(helper)
    answer = await call
    self.assertEqual(answer.status, 200)
    self.assertEqual(self.cluster.runs('s1'), 2)
    now = asyncio.get_running_loop().time()
    retries = [
        gateway.state.budget.usage('desk', now).retries
        for gateway in self.gateways
    ]
    self.assertEqual(retries, [1, 0, 0])

  async def test_refusal_of_the_helper_says_not_run(self):
    self.cluster.update_behaviour('desk', mode='full')
    answer = await self.send_at(0, 'unsafe', request='b1')
    self.assertEqual(answer.status, 503)
    self.assertIn(b'"run":"not_run"', answer.body)
    self.assertGreater(float(answer.headers['retry-after']), 0)
    self.assertEqual(self.cluster.runs('b1'), 0)

  async def test_error_of_an_endpoint_is_passed_back(self):
    self.cluster.update_behaviour('desk', status=500)
    answer = await self.send_at(0, 'unsafe')
    self.assertEqual(answer.status, 500)
    self.assertIn('x-mulberrypick-server-signature', answer.headers)


class AllApartTest(PassOnTestCase):

  apart = 2

  async def test_host_that_is_apart_takes_no_request(self):
    for number in range(10):
      answer = await self.send_at(number % 2, 'unsafe')
      self.assertEqual(answer.status, 200)
    self.assertEqual(self.taken()[:2], [0, 0])
    self.assertEqual(self.taken()[2], 10)

  async def test_request_is_refused_truthfully_if_nobody_takes_it(self):
    self.gateways[2].state.taken = forward_server.MAX_TAKEN
    answer = await self.send_at(0, 'unsafe', request='b1')
    self.assertEqual(answer.status, 503)
    self.assertIn(b'"run":"not_run"', answer.body)
    self.assertGreater(float(answer.headers['retry-after']), 0)
    self.assertEqual(self.cluster.runs('b1'), 0)
    self.gateways[2].state.taken = 0

  async def test_request_makes_one_hop_if_a_helper_is_apart_by_then(self):
    # The first host still believes that the second one reaches endpoints.
    helper = self.asker.helpers.find('host-2')
    now = asyncio.get_running_loop().time()
    self.asker.helpers.update(
        helper._replace(is_reaching=True, reached_at=now, heard_at=now)
    )
    self.asker.helpers.remove('host-3')
    answer = await self.send_at(0, 'unsafe', request='b1')
    self.assertIn(answer.status, (200, 503))
    self.assertLessEqual(self.cluster.runs('b1'), 1)
    self.assertEqual(self.taken()[:2], [0, 0])


class ForgeryTest(PassOnTestCase):

  async def send_raw(self, port: int, local_ip: str, body: bytes) -> int:
    """Posts a message to a port from a local address; returns the status."""
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', port, local_addr=(local_ip, 0)
    )
    head = (
        f'POST /forward HTTP/1.1\r\nHost: x\r\nContent-Length: {len(body)}'
        '\r\nConnection: close\r\n\r\n'
    )
    writer.write(head.encode() + body)
    answer = await reader.read()
    writer.close()
    return int(answer.split(b' ')[1])

  def make_message(self) -> bytes:
    headers = [
        (b'Host', gateway_cluster.HOST.encode()),
        (b'X-Mulberrypick-Request-Id', b'forged'),
    ]
    return forward_message.encode_request(
        forward_message.ForwardedRequest(
            'host-1', b'POST', b'/unsafe/x', headers, b'', '10.0.0.1', 0.0, 0
        )
    )

  async def test_message_on_the_port_of_callers_is_no_message(self):
    port = self.gateways[1].state.host.listen_port
    self.assertEqual(
        await self.send_raw(port, '127.0.0.1', self.make_message()), 404
    )
    self.assertEqual(self.cluster.runs('forged'), 0)

  async def test_message_of_an_unknown_host_is_refused(self):
    port = self.gateways[1].state.host.forward_port
    self.assertEqual(
        await self.send_raw(port, '127.0.0.9', self.make_message()), 404
    )
    self.assertEqual(self.cluster.runs('forged'), 0)

  async def test_message_that_is_unreadable_is_refused(self):
    port = self.gateways[1].state.host.forward_port
    for body in (b'', b'\xc1', b'x' * 1000, b'\x9f'):
      self.assertEqual(await self.send_raw(port, '127.0.0.1', body), 400)


class StreamTest(PassOnTestCase):

  async def test_events_arrive_as_they_are_made(self):
    self.cluster.update_behaviour('engine', events=5, event_interval_s=0.2)
    began_at = asyncio.get_running_loop().time()
    answer = await self.send_at(0, 'ask', disconnect_after_events=1)
    self.assertIn(b'id: 1\n', answer.body)
    self.assertLess(asyncio.get_running_loop().time() - began_at, 0.3)

  async def test_caller_that_leaves_ends_the_run(self):
    self.cluster.update_behaviour('engine', events=50, event_interval_s=0.1)
    await self.send_at(0, 'ask', request='r1', disconnect_after_events=1)
    await asyncio.sleep(MAX_RUN_AFTER_LEAVING_S)
    aborted = []
    for replica in self.cluster.replica_by_name.values():
      aborted += replica.aborted_requests
    self.assertIn('r1', aborted)

  async def test_caller_that_leaves_before_the_first_event_ends_the_run(self):
    self.cluster.update_behaviour('engine', work_s=5.0)
    await self.send_at(0, 'ask', request='r1', disconnect_after_s=0.3)
    await asyncio.sleep(MAX_RUN_AFTER_LEAVING_S)
    aborted = []
    for replica in self.cluster.replica_by_name.values():
      aborted += replica.aborted_requests
    self.assertIn('r1', aborted)

  async def test_stream_goes_on_at_another_helper(self):
    # Well within the caller's time limit, also if the machine is busy.
    self.cluster.update_behaviour('engine', events=10, event_interval_s=0.06)
    call = asyncio.create_task(self.send_at(0, 'ask', request='r1'))
    await asyncio.sleep(0.25)
    helper = next(n for n, g in enumerate(self.gateways) if g.state.taken)
    await self.stop_host(helper)
    answer = await call
    self.assertTrue(answer.is_whole)
    pieces = [b'data: piece %d\n' % n for n in range(1, 11)]
    found = [answer.body.count(piece) for piece in pieces]
    self.assertEqual(found, [1] * 10)

  async def test_stream_that_may_not_be_resumed_ends_incomplete(self):
    self.cluster.update_behaviour('engine', events=10, event_interval_s=0.1)
    call = asyncio.create_task(self.send_at(0, 'read', request='r1'))
    await asyncio.sleep(0.4)
    helper = next(n for n, g in enumerate(self.gateways) if g.state.taken)
    await self.stop_host(helper)
    answer = await call
    self.assertFalse(answer.is_whole)
    self.assertEqual(self.cluster.runs('r1'), 1)

  async def test_helper_that_leaves_finishes_what_it_took(self):
    # Well within the caller's time limit, also if the machine is busy.
    self.cluster.update_behaviour('engine', events=10, event_interval_s=0.06)
    call = asyncio.create_task(self.send_at(0, 'read', request='r1'))
    await self.wait_until(lambda: any(g.state.taken for g in self.gateways))
    helper = next(g for g in self.gateways if g.state.taken)
    helper._stop_requested.set()
    answer = await call
    self.assertTrue(answer.is_whole)
    before = helper.state.taken_count
    for number in range(5):
      answer = await self.send_at(0, 'unsafe', request=f'b{number}')
      self.assertEqual(answer.status, 200)
    self.assertEqual(helper.state.taken_count, before)


class OnlyHelperTest(PassOnTestCase):
  """Two of three hosts are cut off; the third helps them."""

  apart = 2

  async def test_only_helper_helps_while_it_takes_its_own_callers(self):
    # Guards against refusals for the three seconds after its SIGTERM.
    helper = self.gateways[2]
    answer = await self.send_at(0, 'unsafe', request='before')
    self.assertEqual(answer.status, 200)
    helper._stop_requested.set()
    await self.wait_until(lambda: helper.state.is_leaving)
    for number in range(10):
      answer = await self.send_at(0, 'unsafe', request=f'b{number}')
      self.assertEqual(answer.status, 200)
      await asyncio.sleep(0.1)


class CutDuringRunTest(PassOnTestCase):
  """The cut begins while requests run."""

  mode = MODE.HANGING

  async def cut_off(self) -> None:
    """The tests cut the host off."""

  async def check_goes_on(self, mode: apart_host.CutMode) -> None:
    self.cluster.update_behaviour('engine', events=15, event_interval_s=0.1)
    await self.send_at(1, 'safe')
    call = asyncio.create_task(
        self.send_at(0, 'ask', headers={'X-Mulberrypick-Deadline-Ms': '15000'})
    )
    await asyncio.sleep(0.3)
    self.cut(mode)
    answer = await call
    self.assertTrue(answer.is_whole)
    pieces = [b'data: piece %d\n' % n for n in range(1, 16)]
    self.assertEqual([answer.body.count(p) for p in pieces], [1] * 15)

  async def test_resumable_stream_goes_on_if_its_connection_is_reset(self):
    self.allow_long_streams()
    await self.check_goes_on(MODE.REFUSED)

  async def test_resumable_stream_goes_on_if_its_connection_hangs(self):
    self.allow_long_streams()
    await self.check_goes_on(MODE.HANGING)

  async def test_stream_is_not_given_up_without_a_retry(self):
    self.allow_long_streams()
    self.cluster.update_behaviour('engine', events=15, event_interval_s=0.1)
    await self.send_at(1, 'safe')
    for gateway in self.gateways:
      gateway.state.budget.reconfigure(0.0, 0.0, 10.0)
    call = asyncio.create_task(
        self.send_at(
            0,
            'ask',
            headers={'X-Mulberrypick-Deadline-Ms': '15000'},
            request='r1',
        )
    )
    await asyncio.sleep(0.4)
    runs = self.cluster.runs('r1')
    self.cut(MODE.OLD_ALIVE)
    for replica in self.cluster.replica_by_name.values():
      replica.silence.begin(1.2)
    answer = await call
    self.assertTrue(self.gateways[0].state.reach.is_apart)
    self.assertTrue(answer.is_whole)
    self.assertEqual(self.cluster.runs('r1'), runs)

  async def check_prefill_once(self, mode: apart_host.CutMode) -> None:
    """Cuts the host off while an engine prefills a prompt for another one."""
    self.cluster.update_behaviour('engine', work_s=0.4)
    for gateway in self.gateways:
      gateway.state.budget.reconfigure(0.0, 0.0, 10.0)
    await self.send_at(1, 'safe')
    call = asyncio.create_task(self.send_at(0, 'read', request='r1'))
    reader = self.cluster.replica_by_name['reader']
    await self.wait_until(lambda: 'r1' in reader.headers_by_request)
    arrivals = self.count_arrivals()
    self.cut(mode)
    await call
    self.assertEqual(self.count_arrivals(), arrivals)

  def count_arrivals(self) -> int:
    return sum(r.arrivals for r in self.cluster.replica_by_name.values())

  async def test_prompt_is_not_read_again_without_a_retry(self):
    await self.check_prefill_once(MODE.REFUSED)

  def allow_long_streams(self) -> None:
    config = gateway_cluster.make_config(2)
    for route in config['routes']:
      route['timeoutMs'] = 15000
    self.cluster.store.put('config', 'main', config)


class BrokenHelperTest(PassOnTestCase):
  """The helper is a raw server that ends the connection too early."""

  async def pass_on_to(
      self, route: str, frames: list[forward_message.Frame]
  ) -> bytes:
    """Returns all that a caller gets if the helper sends only these frames."""
    data = b''.join(forward_message.encode_frame(frame) for frame in frames)

    async def respond(reader, writer):
      await reader.readuntil(b'\r\n\r\n')
      writer.write(
          b'HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n'
          b'%x\r\n%s\r\n' % (len(data), data)
      )
      await writer.drain()
      await asyncio.sleep(0.05)
      writer.transport.abort()

    port = gateway_cluster.free_ports(1)[0]
    server = await asyncio.start_server(respond, '127.0.0.1', port)
    self.addCleanup(server.close)
    now = asyncio.get_running_loop().time()
    helper = self.asker.helpers.find('host-2')._replace(
        name='raw', port=port, is_reaching=True, reached_at=now, heard_at=now
    )
    # The other hosts go on to describe themselves.
    self.asker.helpers.usable = lambda now: [helper]
    reader, writer = await asyncio.open_connection(
        '127.0.0.1', self.asker.host.listen_port
    )
    writer.write(
        f'POST /{route}/x HTTP/1.1\r\nHost: {gateway_cluster.HOST}\r\n'
        'X-Mulberrypick-Request-Id: r1\r\nContent-Length: 0\r\n'
        'X-Mulberrypick-Deadline-Ms: 1000\r\n\r\n'.encode()
    )
    received = b''
    try:
      async with asyncio.timeout(0.6):
        while piece := await reader.read(65536):
          received += piece
    except (TimeoutError, ConnectionResetError):
      # The connection is kept for another request, or broken off.
      pass
    writer.close()
    return received

  async def test_whole_response_is_written_once(self):
    whole = forward_message.Whole(200, [], b'answer')
    received = await self.pass_on_to('unsafe', [whole])
    self.assertEqual(received.count(b'HTTP/1.1'), 1)
    self.assertIn(b'200', received.partition(b'\r\n')[0])

  async def test_stream_without_end_is_not_complete(self):
    chunked = [(b'Transfer-Encoding', b'chunked')]
    frames = [
        forward_message.Head(200, chunked, 'v1'),
        forward_message.Data(b'7\r\nid: 1\n\n\r\n', 1),
    ]
    received = await self.pass_on_to('read', frames)
    self.assertIn(b'id: 1', received)
    self.assertFalse(received.endswith(b'0\r\n\r\n'))
    self.assertEqual(received.count(b'HTTP/1.1'), 1)

  async def test_stream_with_end_is_complete(self):
    chunked = [(b'Transfer-Encoding', b'chunked')]
    frames = [
        forward_message.Head(200, chunked, 'v1'),
        forward_message.Data(b'7\r\nid: 1\n\n\r\n', 1),
        forward_message.End(),
    ]
    received = await self.pass_on_to('read', frames)
    self.assertTrue(received.endswith(b'0\r\n\r\n'))
    self.assertEqual(received.count(b'HTTP/1.1'), 1)

  async def test_response_without_frames_may_have_run(self):
    received = await self.pass_on_to('unsafe', [])
    self.assertIn(b'502', received.partition(b'\r\n')[0])


class NotHeldTest(gateway_apart_test.ApartTestCase):
  """A suspicion holds no final answer up."""

  hosts = 2
  apart = 0

  def suspect(self) -> None:
    """Lets a suspicion last."""
    reach = self.gateways[0].state.reach
    reach.known.choose_probes = lambda endpoints: []
    reach.record_doubt()

  async def time_answer(self, route: str) -> tuple[int, float]:
    loop = asyncio.get_running_loop()
    began_at = loop.time()
    answer = await self.send_at(0, route)
    return answer.status, loop.time() - began_at

  async def test_refusal_of_full_endpoints_is_not_held(self):
    self.cluster.update_behaviour('desk', mode='full')
    self.suspect()
    status, took_s = await self.time_answer('unsafe')
    self.assertEqual(status, 503)
    self.assertLess(took_s, 0.2)

  async def test_failure_of_a_booking_is_not_held(self):
    self.cluster.update_behaviour('desk', mode='reset')
    self.suspect()
    status, took_s = await self.time_answer('unsafe')
    self.assertEqual(status, 502)
    self.assertLess(took_s, 0.2)


class EvidenceTest(gateway_apart_test.ApartTestCase):

  hosts = 3
  apart = 2

  async def test_cut_is_no_crash_of_endpoints(self):
    self.cluster.update_behaviour('desk', work_s=0.3)
    calls = []
    for number in range(24):
      calls.append(asyncio.create_task(self.send_at(number % 2, 'safe')))
    await asyncio.sleep(0.15)
    self.cut(MODE.REFUSED)
    await asyncio.gather(*calls)
    for number in range(2):
      reach = self.gateways[number].state.reach
      await self.wait_until(lambda r=reach: r.is_apart)
      self.assertEqual(self.gateways[number].state.quarantine.all_crashes(), [])
    self.cluster.update_behaviour('desk', work_s=0.0)
    for number in range(9):
      # The same content as that of the requests that the cut broke off.
      answer = await self.send_at(number % 3, 'safe')
      self.assertEqual(answer.status, 200)
    self.heal()
    for number in range(2):
      reach = self.gateways[number].state.reach
      async with asyncio.timeout(MAX_RETURN_S):
        await self.wait_until(lambda r=reach: not r.is_apart)
      self.assertEqual(self.gateways[number].state.quarantine.all_crashes(), [])

  async def test_requests_count_where_they_reach_endpoints(self):
    self.cut(MODE.REFUSED)
    for number in range(2):
      reach = self.gateways[number].state.reach
      await self.wait_until(lambda r=reach: r.is_apart)
    for _ in range(8):
      await self.send_at(0, 'unsafe')
    now = asyncio.get_running_loop().time()
    counts = [
        gateway.state.budget.usage('desk', now).requests
        for gateway in self.gateways
    ]
    self.assertEqual(counts, [0, 0, 8])

  async def test_host_that_is_apart_does_no_work_for_all(self):
    self.cut(MODE.REFUSED)
    state = self.gateways[0].state
    await self.wait_until(lambda: state.reach.is_apart)
    await self.wait_until(lambda: state.rank_among_hosts == self.hosts)
    self.assertIsNone(state.turn_among_hosts)
    await self.wait_until(lambda: self.gateways[2].state.rank_among_hosts == 0)


class NotApartTest(gateway_apart_test.ApartTestCase):

  hosts = 3
  apart = 0

  def states(self) -> set[endpoint_reach.Reach]:
    return {gateway.state.reach.known.state for gateway in self.gateways}

  async def check_never_apart(self, duration_s: float) -> None:
    loop = asyncio.get_running_loop()
    end_at = loop.time() + duration_s
    number = 0
    while loop.time() < end_at:
      number += 1
      await self.send_at(number % 3, ('safe', 'ask')[number % 2])
      self.assertNotIn(endpoint_reach.Reach.APART, self.states())
      await asyncio.sleep(0.02)

  async def test_service_that_is_down_does_not_set_hosts_apart(self):
    for name in ('desk-1', 'desk-2'):
      self.cluster.replica_by_name[name].stop()
    await self.check_never_apart(2.0)

  async def test_endpoints_that_are_all_down_do_not_set_hosts_apart(self):
    for replica in self.cluster.replica_by_name.values():
      replica.stop()
    await self.check_never_apart(2.0)

  async def test_silent_endpoints_do_not_set_hosts_apart(self):
    for replica in self.cluster.replica_by_name.values():
      replica.silence.begin(1.2)
    await self.check_never_apart(1.5)


class SpreadTest(PassOnTestCase):

  hosts = 5

  async def test_requests_are_spread_over_the_helpers(self):
    self.cluster.update_behaviour('desk', work_s=0.02)
    await asyncio.gather(*(self.send_at(0, 'unsafe') for _ in range(60)))
    taken = self.taken()[1:]
    self.assertEqual(sum(taken), 60)
    self.assertLessEqual(max(taken), 30)

  async def test_work_returns_after_the_cut(self):
    self.heal()
    async with asyncio.timeout(MAX_RETURN_S):
      await self.wait_until(lambda: not self.asker.reach.is_apart)
    before = self.asker.forwarded_count
    for _ in range(20):
      answer = await self.send_at(0, 'unsafe')
      self.assertEqual(answer.status, 200)
    self.assertEqual(self.asker.forwarded_count, before)

  async def test_probes_of_a_host_that_is_apart_are_few(self):
    before = self.asker.pool.opened_count
    await asyncio.sleep(2.0)
    self.assertLessEqual(self.asker.pool.opened_count - before, 6)


class ExplainTest(PassOnTestCase):

  async def test_lines_of_both_hosts_have_the_request(self):
    with self.assertLogs(level=logging.INFO) as logged:
      await self.send_at(0, 'unsafe', request='e1')
      self.cluster.update_behaviour('desk', mode='full')
      await self.send_at(0, 'unsafe', request='e2')
    events = collections.Counter()
    for record in logged.records:
      fields = record.msg if isinstance(record.msg, dict) else {}
      if fields.get('request') in ('e1', 'e2'):
        events[fields['event'], fields['request']] += 1
        if fields['event'] == 'call_passed_on':
          self.assertIn('helper', fields)
        else:
          self.assertEqual(fields['from_host'], 'host-1')
    self.assertEqual(events['call_passed_on', 'e1'], 1)
    self.assertEqual(events['call_passed_on', 'e2'], 1)
    self.assertEqual(events['call_taken', 'e1'], 1)
    self.assertEqual(events['call_taken', 'e2'], 1)
    self.assertEqual(events['call_refused', 'e2'], 1)


if __name__ == '__main__':
  unittest.main()
