"""Tests of the operators' token on both HTTP applications for operators."""

import io
import unittest

from mulberrypick.ops import controller_app
from mulberrypick.ops import operator_app


def get(application, path: str, authorization: str = '') -> int:
  """Returns the HTTP status of a GET request."""
  environ = {
      'REQUEST_METHOD': 'GET',
      'PATH_INFO': path,
      'wsgi.input': io.BytesIO(),
  }
  if authorization:
    environ['HTTP_AUTHORIZATION'] = authorization
  statuses = []
  list(application(environ, lambda status, *_: statuses.append(status)))
  return int(statuses[0].split()[0])


def make_applications(token: str) -> list:
  """Creates the applications of an entry host and of a controller."""
  return [
      operator_app.OperatorApp(dict, lambda request_id: [], token),
      controller_app.ControllerApp(dict, token),
  ]


class TestOperatorToken(unittest.TestCase):

  def test_status_requires_the_token(self):
    for application in make_applications('hush'):
      for wrong in ('', 'Bearer', 'Bearer ', 'Bearer hus', 'Bearer hush2'):
        self.assertEqual(get(application, '/status', wrong), 401)
      self.assertEqual(get(application, '/status', 'Bearer hush'), 200)

  def test_without_a_configured_token_none_is_required(self):
    for application in make_applications(''):
      self.assertEqual(get(application, '/status'), 200)

  def test_health_of_a_controller_requires_no_token(self):
    application = controller_app.ControllerApp(dict, 'hush')
    self.assertEqual(get(application, '/healthz'), 200)
