"""Tests of the platform adapter: settings, objects and requests."""

import pathlib
import tempfile
import unittest

from mulberrypick.adapters import received_request
from mulberrypick.adapters import stream_client
from mulberrypick.core import crash_exchange
from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.platform import objects
from mulberrypick.platform import requests
from mulberrypick.platform import settings
from standins import gateway_cluster

SETTINGS = """
nodeName: "edge-1"
zone: "a"
ip: "10.1.0.35"
listen:
  frontend: "10.1.0.35:8144"
  ready: "10.1.0.35:8140"
  controlPlane: "10.1.0.35:8146"
internalPorts: [7660, 7675]
seeds: ["10.2.0.28:8146"]
bootstrap: true
newField: {x: 1}
bounds:
  graceS: 8
  retryBudgetRatio: 0.2
  retryBudgetSlack: 52
  budgetWindowS: 10
platform: {address: "10.200.1.7:8142"}
"""


def make_received(
    *headers: tuple[bytes, bytes], body: bytes = b'', peer: str = '10.9.9.9'
):
  return received_request.ReceivedRequest(
      b'POST', b'/a/b', list(headers), body, peer, 1.0
  )


class SettingsTest(unittest.TestCase):

  def load(self, text: str) -> gateway_records.GatewayHost:
    with tempfile.TemporaryDirectory() as folder:
      path = pathlib.Path(folder) / 'settings.yaml'
      path.write_text(text)
      return settings.load_settings(path)

  def test_fields_are_decoded_and_unknown_ones_ignored(self):
    host = self.load(SETTINGS)
    self.assertEqual(
        (host.name, host.zone, host.ip), ('edge-1', 'a', '10.1.0.35')
    )
    self.assertEqual((host.listen_port, host.peer_port), (8144, 8146))
    self.assertEqual((host.store_ip, host.store_port), ('10.200.1.7', 8142))
    self.assertEqual(host.bounds.budget_slack, 52)

  def test_missing_peer_address_uses_first_internal_port(self):
    text = SETTINGS.replace('  controlPlane: "10.1.0.35:8146"\n', '')
    self.assertEqual(self.load(text).peer_port, 7660)

  def test_missing_field_and_invalid_yaml_are_errors(self):
    for text in (SETTINGS.replace('nodeName', 'x'), 'a: [', '', '7'):
      with self.assertRaises(errors.SettingsError):
        self.load(text)

  def test_file_that_is_cut_within_a_character_is_refused(self):
    # Guards against an end of the process when the file is read again while it
    # is being written.
    with tempfile.TemporaryDirectory() as directory:
      path = pathlib.Path(directory, 'settings.yaml')
      path.write_bytes('node: ž'.encode()[:-1])
      with self.assertRaises(errors.SettingsError):
        settings.load_settings(path)


class ObjectsTest(unittest.TestCase):

  def test_configuration(self):
    config = objects.decode_config(gateway_cluster.make_config(3))
    self.assertEqual(config.version, 3)
    route = config.routes_by_host[gateway_cluster.HOST][0]
    self.assertEqual(route.target_s, 0.2)
    self.assertTrue(config.service_by_name['engine'].is_engine)
    self.assertFalse(config.service_by_name['desk'].is_engine)
    again = objects.decode_config_json(config.raw)
    self.assertEqual(again.routes_by_host, config.routes_by_host)

  def test_weights_of_a_split_route(self):
    spec = gateway_cluster.make_config(3)
    spec['routes'][0]['trafficSplit'] = [
        {'service': 'desk', 'weight': 90},
        {'service': 'new', 'weight': 10},
    ]
    config = objects.decode_config(spec)
    shares = {}
    for route in config.routes_by_host[gateway_cluster.HOST]:
      shares[route.name] = route.share_by_service
    self.assertEqual(shares['safe'], {'desk': 90, 'new': 10})
    self.assertEqual(shares['unsafe'], {'desk': 1})

  def test_malformed_configurations_are_rejected(self):
    for spec in (None, 7, 'x', [], {}, {'version': 1, 'routes': [7]}):
      self.assertIsNone(objects.decode_config(spec))
    self.assertIsNone(objects.decode_config_json(b'\xff'))

  def test_refusal_is_decoded_as_it_was_encoded(self):
    reports = [
        crash_exchange.CrashReport('e1', 5, 2.0, False, (7,)),
        crash_exchange.CrashReport('e2', 6, 1.0, True, (7,)),
    ]
    name, spec = objects.encode_refusal(7, reports, 100.0)
    self.assertEqual(name, '0000000000000007')
    aged = [r._replace(age_s=r.age_s + 3.0) for r in reports]
    self.assertEqual(objects.decode_refusal(name, spec, 103.0), aged)

  def test_malformed_refusal_gives_no_crashes(self):
    crash = {'endpoint': 'e1', 'incarnation': 1, 'crashedAt': 1}
    for name, spec in (
        ('x', {'crashes': []}),
        ('07', None),
        ('07', {'crashes': [crash]}),
    ):
      with self.assertLogs(objects.__name__, 'WARNING'):
        self.assertEqual(objects.decode_refusal(name, spec, 1.0), [])


class RequestsTest(unittest.TestCase):

  def test_prompt_and_deadline(self):
    call = requests.decode_call(
        make_received(
            (b'Host', b'A.Example:80'),
            (b'X-Mulberrypick-Request-Id', b'r1'),
            (b'X-Mulberrypick-Deadline-Ms', b'1500'),
            (b'X-Mulberrypick-Token-Usage', b'1460,80'),
            (b'X-Mulberrypick-Prefix-Hash', b'5c:800, 91:410,bad,e4:250'),
        )
    )
    self.assertEqual((call.id, call.hostname), ('r1', 'a.example'))
    self.assertEqual(call.deadline_s, 1.5)
    self.assertEqual((call.prompt_tokens, call.output_tokens), (1460, 80))
    self.assertEqual([p.tokens for p in call.parts], [800, 410, 250])

  def test_invalid_numbers_count_as_missing(self):
    call = requests.decode_call(
        make_received(
            (b'X-Mulberrypick-Deadline-Ms', b'-5'),
            (b'X-Mulberrypick-Token-Usage', b'9' * 40),
        )
    )
    self.assertEqual(call.deadline_s, requests.DEFAULT_DEADLINE_MS / 1000)
    self.assertEqual(call.prompt_tokens, 0)

  def test_fingerprint_covers_the_content(self):
    first = make_received((b'X-Mulberrypick-Request-Id', b'r1'), body=b'x')
    again = make_received((b'X-Mulberrypick-Request-Id', b'r2'), body=b'x')
    other = make_received(body=b'y')
    self.assertEqual(requests.fingerprint(first), requests.fingerprint(again))
    self.assertNotEqual(
        requests.fingerprint(first), requests.fingerprint(other)
    )

  def test_fingerprint_is_the_same_for_all_callers(self):
    first = make_received(body=b'x', peer='10.0.0.1')
    again = make_received(body=b'x', peer='10.0.0.2')
    self.assertEqual(requests.fingerprint(first), requests.fingerprint(again))

  def test_repeat_with_other_prompt_parts_has_the_same_fingerprint(self):
    first = make_received((b'X-Mulberrypick-Prefix-Hash', b'aa:8,bb:4'))
    again = make_received((b'X-Mulberrypick-Prefix-Hash', b'aa:8,cc:4'))
    self.assertEqual(requests.fingerprint(first), requests.fingerprint(again))

  def test_responses_to_other_requests_are_detected(self):
    match = stream_client.HeadMatch
    own = (b'X-Mulberrypick-Request-Id', b'r1')
    bare = stream_client.Head(200, [], False)
    for is_first in (True, False):
      for status in (200, 503):
        head = stream_client.Head(status, [own], False)
        found = requests.match_response('r1', head, is_first)
        self.assertIs(found, match.OWN)
        found = requests.match_response('r2', head, is_first)
        self.assertIs(found, match.FOREIGN)
      found = requests.match_response('r1', bare, is_first)
      self.assertIs(found, match.FOREIGN)

  def test_refusal_without_an_id_is_proven_by_a_fresh_connection_only(self):
    match = stream_client.HeadMatch
    marked = [(b'X-Mulberrypick-Not-Executed', b'1')]
    for status, headers in ((400, []), (421, []), (503, marked)):
      head = stream_client.Head(status, headers, False)
      found = requests.match_response('r1', head, True)
      self.assertIs(found, match.OWN)
      found = requests.match_response('r1', head, False)
      self.assertIs(found, match.UNPROVEN)

  def test_only_marked_or_misdirected_responses_are_not_run(self):
    marked = stream_client.Head(
        503, [(b'X-Mulberrypick-Not-Executed', b'1')], False
    )
    self.assertTrue(requests.classify_response(marked).is_not_run)
    bare = stream_client.Head(503, [], False)
    self.assertFalse(requests.classify_response(bare).is_not_run)
    other = stream_client.Head(421, [], False)
    self.assertTrue(requests.classify_response(other).is_not_run)


if __name__ == '__main__':
  unittest.main()
