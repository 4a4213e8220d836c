"""Tests of the declaration library: invalid entries are refused when added."""

import io
import unittest

from mulberrypick import declare
from mulberrypick.core import errors
from mulberrypick.core import records


class TestDeclare(unittest.TestCase):

  def setUp(self):
    self.deployment = declare.Deployment()
    self.rank = self.add_rank('urgent', reserve=0.7)
    self.model = self.deployment.add_model(
        'small', version='1', replicas=2, adapters=('road',)
    )
    self.service = self.deployment.add_model_service(
        'ask', model=self.model, rank=self.rank, timeout_s=5.0
    )

  def add_rank(self, name, **changes):
    values = {
        'is_urgent': True,
        'first_token_s': 0.5,
        'between_tokens_s': 0.05,
        'deadline_s': 5.0,
    }
    return self.deployment.add_rank(name, **{**values, **changes})

  def add_tenant(self, name, share=0.1, services=None, ranks=None, **more):
    return self.deployment.add_tenant(
        name,
        share=share,
        services=(self.service,) if services is None else services,
        ranks=(self.rank,) if ranks is None else ranks,
        **more,
    )

  def assert_refused(self, places: str, call, *args, **kwargs) -> None:
    before = self.deployment.build()
    with self.assertRaises(errors.ConfigError) as raised:
      call(*args, **kwargs)
    places_of_faults = [fault.place for fault in raised.exception.faults]
    self.assertEqual(places_of_faults, places.split(', '))
    self.assertEqual(self.deployment.build(), before)

  def test_shares_may_not_sum_to_more_than_one(self):
    self.add_tenant('a', 0.6)
    self.assert_refused('tenants b.share', self.add_tenant, 'b', 0.5)
    self.add_tenant('b', 0.4)

  def test_reserves_may_not_sum_to_more_than_one(self):
    self.assert_refused('ranks', self.add_rank, 'other', reserve=0.5)

  def test_undeclared_references_are_refused(self):
    undeclared_model = self.model._replace(name='stray')
    undeclared_rank = self.rank._replace(name='stray')
    undeclared_service = self.service._replace(name='stray')
    add_service = self.deployment.add_model_service
    self.assert_refused(
        'services x.rank, services x.model',
        add_service,
        'x',
        model=undeclared_model,
        rank=undeclared_rank,
        timeout_s=1.0,
    )
    self.assert_refused(
        'services x.adapter',
        add_service,
        'x',
        model=self.model,
        adapter='sea',
        rank=self.rank,
        timeout_s=1.0,
    )
    self.assert_refused(
        'tenants t.services[1], tenants t.ranks[0]',
        self.add_tenant,
        't',
        services=(self.service, undeclared_service),
        ranks=(undeclared_rank,),
    )

  def test_values_out_of_range_are_refused(self):
    self.assert_refused(
        'ranks r.first_token_s', self.add_rank, 'r', first_token_s=9.0
    )
    self.assert_refused(
        'ranks r.between_tokens_s', self.add_rank, 'r', between_tokens_s=0.0
    )
    self.assert_refused(
        'models m.replicas',
        self.deployment.add_model,
        'm',
        version='1',
        replicas=-1,
    )

  def test_duplicate_and_invalid_names_are_refused(self):
    self.assert_refused(
        'models small',
        self.deployment.add_model,
        'small',
        version='2',
        replicas=1,
    )
    self.assert_refused('ranks Big.name', self.add_rank, 'Big')
    self.assert_refused('ranks', self.add_rank, 7)

  def test_wrong_type_is_a_fault(self):
    self.assert_refused('tenants t.share', self.add_tenant, 't', '0.1')

  def test_output_does_not_depend_on_order(self):
    texts = []
    for names in ('ab', 'ba'):
      self.setUp()
      for name in names:
        self.add_tenant(name, token_sha256=declare.hash_token(name))
      file = io.StringIO()
      self.deployment.print_json(file)
      texts.append(file.getvalue())
    self.assertEqual(*texts)

  def test_tenants_may_not_share_a_token(self):
    token = declare.hash_token('secret')
    self.add_tenant('a', token_sha256=token)
    self.assert_refused(
        'tenants b.token_sha256', self.add_tenant, 'b', token_sha256=token
    )

  def test_kinds_of_services(self):
    desk = self.deployment.add_plain_service(
        'desk', rank=self.rank, is_repeatable=False, timeout_s=1.0
    )
    self.assertEqual(desk.kind, records.KIND_PLAIN)
    self.assertEqual(self.service.kind, records.KIND_MODEL)
