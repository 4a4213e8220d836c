"""Tests for the orders that result from the state of a zone.

A zone is written as text with one engine per line, `name: models | flags`. The
flags are `draining`, `changing`, `unsettled`, `drain-wanted`, `leaving`, `away`
(unreachable), `running=N` and `role=R`. Declared models are written as
`name@version+adapter*replicas`.
"""

import unittest

from mulberrypick.core import reconcile
from mulberrypick.core import records

ZONE = 'z1'


def parse_zone(text: str, models: str) -> reconcile.ZoneView:
  """Returns the view of one zone."""
  model_by_name = {}
  for word in models.split():
    name, _, replicas = word.partition('*')
    name, _, version = name.partition('@')
    version, *adapters = version.split('+')
    model_by_name[name] = records.Model(
        name, version, tuple(adapters), int(replicas)
    )
  hosts, drains, unsettled = [], set(), set()
  state_by_engine = {}
  for line in text.strip().splitlines():
    name, _, rest = line.strip().partition(':')
    held, _, flags = rest.partition('|')
    flags = flags.split()
    options = dict(f.split('=') for f in flags if '=' in f)
    state = 'leaving' if 'leaving' in flags else 'live'
    hosts.append(
        records.Host(name, ZONE, 'engine', '', '', '', 1, state, False)
    )
    if 'drain-wanted' in flags:
      drains.add(name)
    if 'unsettled' in flags:
      unsettled.add(name)
    if 'away' in flags:
      continue
    state_by_engine[name] = records.EngineState(
        name,
        1,
        options.get('role', 'mixed'),
        tuple(held.split()),
        0,
        0,
        'changing' in flags,
        'draining' in flags,
        int(options.get('running', '0')),
    )
  return reconcile.ZoneView(
      ZONE,
      model_by_name,
      tuple(hosts),
      frozenset(drains),
      state_by_engine,
      {},
      frozenset(unsettled),
  )


def format_orders(
    view: reconcile.ZoneView, roles: dict | None = None
) -> list[str]:
  """Returns the orders that are due, as text."""
  texts = []
  for order in reconcile.list_orders(view, roles or {}):
    what = order.role
    if order.model:
      what = f'{order.model}@{order.version}'
    if order.adapter:
      what += f'+{order.adapter}'
    texts.append(f'{order.endpoint} {order.action} {what}'.strip())
  return texts


class TestReconcile(unittest.TestCase):

  def check(self, zone_text, models, expected, roles=None):
    self.assertEqual(
        expected, format_orders(parse_zone(zone_text, models), roles)
    )

  def test_what_is_declared_and_held_needs_no_order(self):
    self.check('e1: m@1 m@1+a', 'm@1+a*1', [])

  def test_a_missing_model_is_loaded_without_a_drain(self):
    self.check('e1:', 'm@1+a*1', ['e1 load m@1'])
    self.check('e1: m@1', 'm@1+a*1', ['e1 load m@1+a'])

  def test_a_model_is_loaded_on_one_engine_at_a_time(self):
    self.check('e1: | changing\ne2:', 'm@1*2', [])

  def test_models_that_share_no_engine_change_at_once(self):
    zone_text = 'e1: m@1\ne2: n@1'
    self.check(zone_text, 'm@2*1 n@2*1', ['e1 drain', 'e2 drain'])

  def test_a_new_version_drains_one_engine_after_the_other(self):
    self.check('e1: m@1\ne2: m@1', 'm@2*2', ['e1 drain'])
    self.check('e1: m@1 | draining running=3\ne2: m@1', 'm@2*2', [])
    self.check('e1: m@1 | draining\ne2: m@1', 'm@2*2', ['e1 unload m@1'])
    self.check('e1: | draining\ne2: m@1', 'm@2*2', ['e1 load m@2'])
    self.check('e1: m@2 | draining\ne2: m@1', 'm@2*2', ['e1 undrain'])
    self.check('e1: m@2\ne2: m@1', 'm@2*2', ['e2 drain'])

  def test_adapters_are_unloaded_before_their_model(self):
    self.check('e1: m@1 m@1+a | draining', 'm@2*1', ['e1 unload m@1+a'])

  def test_a_role_is_changed_only_on_a_drained_idle_engine(self):
    roles = {'e1': 'prefill'}
    self.check('e1: m@1', 'm@1*1', ['e1 drain'], roles)
    self.check('e1: m@1 | draining running=1', 'm@1*1', [], roles)
    self.check('e1: m@1 | draining', 'm@1*1', ['e1 role prefill'], roles)
    zone_text = 'e1: m@1 | draining role=prefill'
    self.check(zone_text, 'm@1*1', ['e1 undrain'], roles)

  def test_two_role_changes_of_one_model_do_not_overlap(self):
    roles = {'e1': 'prefill', 'e2': 'decode'}
    self.check('e1: m@1\ne2: m@1', 'm@1*2', ['e1 drain'], roles)

  def test_an_unsettled_engine_gets_no_order_and_holds_up_its_models(self):
    self.check('e1: m@1 | unsettled\ne2: m@1', 'm@2*2', [])

  def test_a_replica_moves_before_an_operator_drains_its_engine(self):
    zone_text = 'e1: m@1 | drain-wanted\ne2:'
    self.check(zone_text, 'm@1*1', ['e2 load m@1'])
    self.check('e1: m@1 | drain-wanted\ne2: m@1', 'm@1*1', ['e1 drain'])

  def test_an_engine_that_an_operator_drained_is_left_alone(self):
    self.check('e1: m@1 | drain-wanted draining', 'm@2*1', [])

  def test_the_end_of_an_operators_request_undrains(self):
    self.check('e1: m@1 | draining', 'm@1*1', ['e1 undrain'])

  def test_leaving_and_unreachable_engines_get_no_orders(self):
    self.check('e1: | leaving\ne2: | away', 'm@1*2', [])

  def test_a_surplus_replica_stays_until_the_missing_ones_are_loaded(self):
    # e1 must not unload m before e2 and e3 have it loaded.
    zone_text = 'e1: m@0 m@1\ne2: m@1\ne3:'
    self.check(zone_text, 'm@1*3', ['e3 load m@1'])


if __name__ == '__main__':
  unittest.main()
