"""Tests of how a gateway spreads requests that arrive together."""

import asyncio

from mulberrypick.platform import gateway_test

REQUESTS = 12
MIN_SHARE = 2
# Prompt and expected output tokens: long streams, which need several engines.
LONG = {'X-Mulberrypick-Token-Usage': '900,3000'}


class PrefilledTogetherTest(gateway_test.GatewayTestCase):

  async def test_prompts_read_at_the_same_time_go_to_both_decode_engines(self):
    # Fails if decode engines are chosen before the prefill: none of the
    # requests is known to them then, and all go to the same one.
    self.cluster.update_behaviour('engine', work_s=0.1, event_interval_s=0.1)
    answers = await asyncio.gather(
        *(
            self.call('/ask/x', f'r{number}', headers=LONG)
            for number in range(REQUESTS)
        )
    )
    self.assertTrue(all(answer.is_whole for answer in answers))
    writers = []
    for number in range(REQUESTS):
      for name in ('writer-1', 'writer-2'):
        replica = self.cluster.replica_by_name[name]
        if f'r{number}' in replica.headers_by_request:
          writers.append(name)
    self.assertEqual(len(writers), REQUESTS)
    for name in ('writer-1', 'writer-2'):
      self.assertGreaterEqual(writers.count(name), MIN_SHARE, writers)
