"""Tests of the selection of routes and services."""

import unittest

from mulberrypick.core import gateway_records
from mulberrypick.core import route_table


def make_route(prefix: str, **changes) -> gateway_records.Route:
  route = gateway_records.Route(
      name=prefix,
      hostname='a.example',
      path_prefix=prefix,
      kind=gateway_records.CallKind.SAFE,
      timeout_s=1.0,
      target_s=0.1,
      rank=0,
      share_by_service={'s': 1},
      attempts=2,
      is_resumable=False,
  )
  return route._replace(**changes)


def make_config(*routes: gateway_records.Route):
  by_host: dict[str, list[gateway_records.Route]] = {}
  for route in routes:
    by_host.setdefault(route.hostname, []).append(route)
  for listed in by_host.values():
    listed.sort(key=lambda route: -len(route.path_prefix))
  limits = gateway_records.CallerLimits(1000, 1000, 1.0, 1.0)
  return gateway_records.GatewayConfig(1, by_host, {}, limits, b'')


class RouteTableTest(unittest.TestCase):

  def test_longest_matching_prefix_wins(self):
    config = make_config(make_route('/a/'), make_route('/a/b/'))
    found = route_table.match_route(config, 'a.example', '/a/b/c')
    self.assertEqual(found.path_prefix, '/a/b/')
    found = route_table.match_route(config, 'a.example', '/a/bc')
    self.assertEqual(found.path_prefix, '/a/')

  def test_other_host_has_no_route(self):
    config = make_config(make_route('/a/'))
    self.assertIsNone(route_table.match_route(config, 'b.example', '/a/'))

  def test_weights_hold_and_a_request_keeps_its_service(self):
    route = make_route('/a/', share_by_service={'x': 90, 'y': 10})
    services = [route_table.pick_service(route, f'r{i}') for i in range(2000)]
    self.assertAlmostEqual(services.count('y') / 2000, 0.1, delta=0.03)
    self.assertEqual(
        route_table.pick_service(route, 'r7'),
        route_table.pick_service(route, 'r7'),
    )

  def test_service_without_weight_gets_nothing(self):
    route = make_route('/a/', share_by_service={'x': 0, 'y': 10})
    for i in range(50):
      self.assertEqual(route_table.pick_service(route, f'r{i}'), 'y')


if __name__ == '__main__':
  unittest.main()
