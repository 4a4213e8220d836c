"""Tests of the settings for the key pair of a deployment."""

import unittest

import zmq

from mulberrypick.adapters import peer_keys
from mulberrypick.core import errors
from mulberrypick.core import settings


def parse(public: str, secret: str) -> list[str]:
  """Returns the places of all faults in the settings of the two keys."""
  texts = {'peer_public_key': public, 'peer_secret_key': secret}
  try:
    value_by_name = settings.parse_settings(peer_keys.SETTINGS, texts)
  except errors.SettingsError as error:
    return [fault.place for fault in error.faults]
  return [fault.place for fault in peer_keys.find_faults(value_by_name)]


class TestSettings(unittest.TestCase):

  def setUp(self):
    self.public, self.secret = (k.decode() for k in zmq.curve_keypair())
    self.places = [f'{s.flag} ({s.variable})' for s in peer_keys.SETTINGS]

  def test_both_keys_or_neither_must_be_set(self):
    self.assertEqual(parse('', ''), [])
    self.assertEqual(parse(self.public, self.secret), [])
    self.assertEqual(parse(self.public, ''), self.places[1:])
    self.assertEqual(parse('', self.secret), self.places[:1])

  def test_keys_of_different_pairs_are_refused(self):
    other, _ = zmq.curve_keypair()
    self.assertEqual(parse(other.decode(), self.secret), self.places[:1])

  def test_all_malformed_keys_are_reported(self):
    for bad in ('short', self.public + 'x', 'é' * 40, ' ' * 40, '#' * 40):
      self.assertEqual(parse(bad, bad), self.places)

  def test_secret_key_is_never_shown(self):
    values = {'peer_public_key': self.public, 'peer_secret_key': self.secret}
    keys = peer_keys.read_keys(values)
    shown = settings.render_settings(peer_keys.SETTINGS, values)
    for text in (repr(keys), str(keys), shown):
      self.assertIn(self.public, text)
      self.assertNotIn(self.secret, text)
    with self.assertRaises(errors.SettingsError) as caught:
      settings.parse_settings(
          peer_keys.SETTINGS, {'peer_secret_key': self.secret + '1'}
      )
    self.assertNotIn(self.secret, str(caught.exception))
