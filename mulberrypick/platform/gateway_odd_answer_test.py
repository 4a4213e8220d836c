"""Tests of a gateway whose replicas answer with what is not the answer."""

from mulberrypick.platform import gateway_pass_on_test
from mulberrypick.platform import gateway_test
from standins import fleet_replica
from standins import odd_answers

REQUESTS = 30
# Events of a stream of the stand-ins.
EVENTS = fleet_replica.Behaviour().events
# Where the head of an answer ends, with `ID` for the request's id.
HALF_HEADS = (
    b'HTTP/1.1',
    b'HTTP/1.1 200',
    b'HTTP/1.1 200 OK\r\n',
    b'HTTP/1.1 200 OK\r\nX-Mulberrypick-Request-Id: ID',
    b'HTTP/1.1 200 OK\r\nX-Mulberrypick-Request-Id: ID\r\n',
    b'HTTP/1.1 200 OK\r\nX-Mulberrypick-Request-Id: ID\r\n'
    b'X-Mulberrypick-Server-Signature: x\r\n',
    b'HTTP/1.1 200 OK\r\nX-Mulberrypick-Request-Id: ID\r\n'
    b'X-Mulberrypick-Server-Signature: x\r\nContent-Length: 9\r',
)


class OddAnswerCase(gateway_test.GatewayTestCase):

  def set_fault(self, service: str, make) -> None:
    """Makes all replicas of a service answer so."""
    for replica in self.cluster.replica_by_name.values():
      if replica.service == service:
        replica.on_run = make()


class RefusalAgainTest(OddAnswerCase):

  async def check(self, path: str, has_id: bool) -> None:
    self.set_fault('desk', lambda: odd_answers.RefusalAgain(has_id))
    ran = 0
    for number in range(REQUESTS):
      request = f'{path[1:5]}{has_id}{number}'
      answer = await self.call(path, request)
      runs = self.cluster.runs(request)
      ran += runs
      if path == '/unsafe/x':
        self.assertLessEqual(runs, 1, request)
      if answer.status in (408, 421, 429, 503):
        self.assertEqual(runs, 0, f'{request}: {answer}')
    self.assertGreater(ran, 0)

  async def test_earlier_refusal_without_an_id_is_no_word_on_the_next(self):
    # Guards against "not run" for requests that run, and that then run twice.
    for path in ('/safe/x', '/unsafe/x'):
      await self.check(path, False)

  async def test_earlier_refusal_with_its_id_is_no_word_on_the_next(self):
    for path in ('/safe/x', '/unsafe/x'):
      await self.check(path, True)


class ResumedStreamTest(OddAnswerCase):

  async def test_stream_is_not_whole_without_the_rest_of_its_own_events(self):
    # Guards against the text of an error within a stream, and against streams
    # that end as complete with a piece missing.
    for kind in odd_answers.RESUMED_ANSWERS:
      self.set_fault('engine', lambda k=kind: odd_answers.OddResumption(k))
      answer = await self.call('/ask/x', f'r-{kind}')
      self.assertFalse(answer.is_whole, f'{kind}: {answer}')
      self.assertNotIn(b'failed', answer.body, kind)
      self.assertNotIn(b'piece 5', answer.body, kind)

  async def test_stream_that_lost_only_its_end_is_whole(self):
    # Guards against a cut after the last event: another run sends that again
    # and shows that nothing follows.
    self.set_fault('engine', lambda: odd_answers.LostEnd(EVENTS))
    answer = await self.call('/ask/x', 'e1')
    self.assertTrue(answer.is_whole, answer)
    self.assertEqual(answer.body.count(b'piece'), EVENTS)

  async def test_first_run_with_a_piece_missing_is_not_whole(self):
    for kind in ('skipped_id', 'own_event_and_text'):
      self.set_fault(
          'engine', lambda k=kind: odd_answers.OddResumption(k, True)
      )
      answer = await self.call('/ask/x', f'f-{kind}')
      self.assertFalse(answer.is_whole, f'{kind}: {answer}')
      self.assertNotIn(b'failed', answer.body, kind)


class PassedBackStreamTest(gateway_pass_on_test.PassOnTestCase):
  """The host of the caller is cut off, and another one runs the stream."""

  async def test_stream_passed_back_is_not_whole_without_its_own_events(self):
    for kind in odd_answers.RESUMED_ANSWERS:
      for replica in self.cluster.replica_by_name.values():
        replica.on_run = odd_answers.OddResumption(kind)
      answer = await self.send_at(0, 'ask', request=f'p-{kind}')
      self.assertGreater(sum(self.taken()), 0)
      self.assertFalse(answer.is_whole, f'{kind}: {answer}')
      self.assertNotIn(b'failed', answer.body, kind)
      self.assertNotIn(b'piece 5', answer.body, kind)


class HalfHeadTest(OddAnswerCase):

  async def test_head_that_stops_in_the_middle_is_no_answer(self):
    for number, part in enumerate(HALF_HEADS):
      for service, path in (('desk', '/unsafe/x'), ('engine', '/ask/x')):
        self.set_fault(service, lambda p=part: odd_answers.HalfHead(p))
        request = f'h{number}{path[1]}'
        answer = await self.call(path, request, body=request.encode())
        self.assertIn(answer.status, (502, 504), f'{part}: {answer}')
        self.assertTrue(answer.is_whole)


if __name__ == '__main__':
  gateway_test.unittest.main()
