"""Tests for the validation of a caller's headers."""

import hashlib
import unittest

from mulberrypick.core import caller
from mulberrypick.core import errors
from mulberrypick.core import records

TOKEN = 'a-token'
URGENT = records.Rank('urgent', True, 0.5, 0.05, 10.0, 0.5)
OTHER = records.Rank('other', False, 5.0, 0.2, 60.0, 0.2)
ASSISTANT = records.Service(
    'assistant', 'model', 'm', '', 'urgent', True, 3, 30.0
)
BOOKING = records.Service('booking', 'plain', '', '', 'other', False, 1, 5.0)
OPEN = records.Tenant('open', 0.5, ('assistant', 'booking'), ('urgent',), '')
CLOSED = records.Tenant(
    'closed',
    0.5,
    ('assistant',),
    ('other', 'urgent'),
    hashlib.sha256(TOKEN.encode()).hexdigest(),
)
CONFIG = records.Config(
    1,
    {'m': records.Model('m', '1', (), 2)},
    {'urgent': URGENT, 'other': OTHER},
    {'assistant': ASSISTANT, 'booking': BOOKING},
    {'open': OPEN, 'closed': CLOSED},
)


class TestCheckCaller(unittest.TestCase):

  def test_defaults_come_from_service_and_rank(self):
    checked = caller.check_caller(
        CONFIG, {'X-Mulberry-Tenant': 'open'}, 'assistant'
    )
    self.assertEqual(URGENT, checked.rank)
    self.assertEqual(10.0, checked.deadline_s)

  def test_token_alone_names_the_tenant(self):
    headers = {'Authorization': f'Bearer {TOKEN}'}
    checked = caller.check_caller(CONFIG, headers, 'assistant')
    self.assertEqual('closed', checked.tenant.name)

  def test_headers_set_rank_and_deadline(self):
    headers = {
        'Authorization': f'Bearer {TOKEN}',
        'X-Mulberry-Rank': 'other',
        'X-Mulberry-Deadline-Ms': '1500',
    }
    checked = caller.check_caller(CONFIG, headers, 'assistant')
    self.assertEqual((OTHER, 1.5), (checked.rank, checked.deadline_s))

  def test_refusals(self):
    closed = {'X-Mulberry-Tenant': 'closed'}
    open_ = {'X-Mulberry-Tenant': 'open'}
    cases = [
        ('no tenant', {}, 'assistant', errors.UnauthorizedError),
        (
            'unknown tenant',
            {'X-Mulberry-Tenant': 'x'},
            'assistant',
            errors.NotFoundError,
        ),
        ('no token', closed, 'assistant', errors.UnauthorizedError),
        (
            'wrong token',
            closed | {'Authorization': 'Bearer b'},
            'assistant',
            errors.UnauthorizedError,
        ),
        ('unknown service', open_, 'x', errors.NotFoundError),
        (
            'service of others',
            {'Authorization': f'Bearer {TOKEN}'},
            'booking',
            errors.ForbiddenError,
        ),
        (
            'unknown rank',
            open_ | {'X-Mulberry-Rank': 'x'},
            'assistant',
            errors.BadRequestError,
        ),
        (
            'rank of others',
            open_ | {'X-Mulberry-Rank': 'other'},
            'assistant',
            errors.ForbiddenError,
        ),
        (
            'deadline',
            open_ | {'X-Mulberry-Deadline-Ms': '-1'},
            'assistant',
            errors.BadRequestError,
        ),
        (
            'deadline of 0',
            open_ | {'X-Mulberry-Deadline-Ms': '0'},
            'assistant',
            errors.BadRequestError,
        ),
        (
            'late deadline',
            open_ | {'X-Mulberry-Deadline-Ms': '9' * 9},
            'assistant',
            errors.BadRequestError,
        ),
    ]
    for name, headers, service, error in cases:
      with self.subTest(name), self.assertRaises(error):
        caller.check_caller(CONFIG, headers, service)


class TestIdempotencyKey(unittest.TestCase):

  def test_key_is_needed_where_a_call_may_not_be_repeated(self):
    with self.assertRaisesRegex(errors.BadRequestError, 'needs a key'):
      caller.read_idempotency_key({}, BOOKING)
    self.assertEqual('', caller.read_idempotency_key({}, ASSISTANT))

  def test_malformed_keys_are_refused(self):
    for key in ('a b', 'x' * 201, 'ü', 'a,\tb'):
      with self.subTest(key), self.assertRaises(errors.BadRequestError):
        caller.read_idempotency_key({'Idempotency-Key': key}, BOOKING)

  def test_request_id_falls_back(self):
    self.assertEqual('r', caller.read_request_id({}, 'r'))
    self.assertEqual('r', caller.read_request_id({'X-Request-Id': 'a b'}, 'r'))
    self.assertEqual(
        'x-1', caller.read_request_id({'X-Request-Id': 'x-1'}, 'r')
    )


if __name__ == '__main__':
  unittest.main()
