"""The key pair by which processes of one deployment know each other.

All processes of a deployment hold the same CurveZMQ pair: a listener proves
by it that it is one of them, and lets in only who proves the same. Encryption
alone would not do: CurveZMQ lets in every client that knows the listener's
public key, so each handshake is also put to an authenticator. It runs on the
thread that owns the sockets, without a thread or an event loop of its own.
"""

import hmac
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

import zmq
import zmq.auth
from zmq.utils import z85

from mulberrypick.core import errors
from mulberrypick.core import settings

KEY_LENGTH = 40
ZAP_DOMAIN = 'mulberrypick'
_NAME_PUBLIC = 'peer_public_key'
_NAME_SECRET = 'peer_secret_key'


class PeerKeys(NamedTuple):
  """A CurveZMQ key pair.

  Attributes:
    public: Public key, in Z85.
    secret: Secret key, in Z85.
  """

  public: str
  secret: str

  def __repr__(self) -> str:
    # The secret must not come into a log by way of a traceback.
    return f'PeerKeys(public={self.public!r}, secret=***)'


def parse_key(text: str) -> str:
  """Parses a Z85 key, or an empty text as none.

  Raises:
    ValueError: It is not a key.
  """
  if not text:
    return text
  try:
    is_key = len(text) == KEY_LENGTH and len(z85.decode(text)) == 32
  except Exception:  # The library raises KeyError, struct.error and others.
    is_key = False
  if not is_key:
    raise ValueError(f'must be a key of {KEY_LENGTH} Z85 characters') from None
  return text


SETTINGS = (
    settings.Setting(
        _NAME_PUBLIC,
        '',
        parse_key,
        'CurveZMQ public key of the deployment, empty for no encryption.',
    ),
    settings.Setting(
        _NAME_SECRET,
        '',
        parse_key,
        'CurveZMQ secret key of the deployment, empty for no encryption.',
        is_secret=True,
    ),
)


def find_faults(value_by_name: Mapping[str, Any]) -> list[errors.Fault]:
  """Finds what is wrong with the two settings taken together."""
  public = value_by_name[_NAME_PUBLIC]
  secret = value_by_name[_NAME_SECRET]
  public_setting, secret_setting = SETTINGS
  if bool(public) != bool(secret):
    missing, given = secret_setting, public_setting
    if secret:
      missing, given = given, missing
    place = f'{missing.flag} ({missing.variable})'
    return [errors.Fault(place, f'must be set together with {given.flag}')]
  if public and zmq.curve_public(secret.encode()) != public.encode():
    place = f'{public_setting.flag} ({public_setting.variable})'
    message = f'does not belong to {secret_setting.flag}'
    return [errors.Fault(place, message)]
  return []


def read_keys(value_by_name: Mapping[str, Any]) -> PeerKeys | None:
  """Returns the checked key pair of the settings, None for no encryption."""
  if not value_by_name[_NAME_PUBLIC]:
    return None
  return PeerKeys(value_by_name[_NAME_PUBLIC], value_by_name[_NAME_SECRET])


def configure_curve_server(zmq_socket: zmq.Socket, keys: PeerKeys) -> None:
  """Makes a socket a CurveZMQ server; before it binds."""
  zmq_socket.setsockopt(zmq.CURVE_SERVER, 1)
  zmq_socket.setsockopt_string(zmq.CURVE_SECRETKEY, keys.secret)
  zmq_socket.setsockopt_string(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
  # Without an authenticator nobody is let in, rather than everybody.
  zmq_socket.setsockopt(zmq.ZAP_ENFORCE_DOMAIN, 1)


def configure_curve_client(zmq_socket: zmq.Socket, keys: PeerKeys) -> None:
  """Makes a socket a CurveZMQ client; before it connects."""
  zmq_socket.setsockopt_string(zmq.CURVE_SERVERKEY, keys.public)
  zmq_socket.setsockopt_string(zmq.CURVE_PUBLICKEY, keys.public)
  zmq_socket.setsockopt_string(zmq.CURVE_SECRETKEY, keys.secret)


class PeerAuthenticator:
  """Lets in the clients that hold the deployment's key pair.

  Attributes:
    socket: Readable when a handshake waits for `handle_handshakes`.
    refused: Handshakes refused since the start.
  """

  def __init__(self, context: zmq.Context, keys: PeerKeys):
    """Binds the socket to which the context puts its handshakes.

    Args:
      context: Context of the listeners; it has one authenticator at most.
      keys: The key pair of the deployment.
    """
    self.refused = 0
    self._public = keys.public.encode()
    self._authenticator = zmq.auth.Authenticator(context)
    self._authenticator.configure_curve_callback(ZAP_DOMAIN, self)
    self._authenticator.start()
    self.socket = self._authenticator.zap_socket

  def callback(self, domain: str, key: bytes) -> bool:
    """Returns whether a client key is let in; the library calls it so."""
    del domain  # There is only one.
    if hmac.compare_digest(key, self._public):
      return True
    self.refused += 1
    return False

  def handle_handshakes(self, max_handshakes: int) -> None:
    """Answers the handshakes that wait; never blocks.

    Args:
      max_handshakes: Handshakes to answer in this call.
    """
    for _ in range(max_handshakes):
      try:
        frames = self.socket.recv_multipart(zmq.NOBLOCK)
      except zmq.Again:
        return
      _run_without_event_loop(self._authenticator.handle_zap_message(frames))


def _run_without_event_loop(coroutine: Any) -> None:
  """Runs a coroutine that waits for nothing, without an event loop."""
  try:
    coroutine.send(None)
  except StopIteration:
    return
  coroutine.close()
  raise RuntimeError('the authenticator waits for something')
