"""Mutual authentication of the processes of a deployment with CurveZMQ.

All processes of a deployment hold the same CurveZMQ key pair. A listener proves
its identity with it and accepts only clients that hold the same pair.
Encryption alone is not enough: CurveZMQ accepts every client that knows the
public key of the listener. Therefore each handshake is also checked by an
authenticator, which runs on the thread that owns the sockets and needs neither
a thread nor an event loop of its own.
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
    # Keeps the secret key out of tracebacks and logs.
    return f'PeerKeys(public={self.public!r}, secret=***)'


def parse_key(text: str) -> str:
  """Parses a Z85 key; an empty text means that no key is set.

  Raises:
    ValueError: The text is not a valid key.
  """
  if not text:
    return text
  try:
    is_key = len(text) == KEY_LENGTH and len(z85.decode(text)) == 32
  except Exception:  # z85 raises KeyError, struct.error and others.
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
  """Returns the faults of the two settings in combination."""
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
  """Returns the key pair from checked settings, None for no encryption."""
  if not value_by_name[_NAME_PUBLIC]:
    return None
  return PeerKeys(value_by_name[_NAME_PUBLIC], value_by_name[_NAME_SECRET])


def configure_curve_server(zmq_socket: zmq.Socket, keys: PeerKeys) -> None:
  """Makes a socket a CurveZMQ server. Must be called before it binds."""
  zmq_socket.setsockopt(zmq.CURVE_SERVER, 1)
  zmq_socket.setsockopt_string(zmq.CURVE_SECRETKEY, keys.secret)
  zmq_socket.setsockopt_string(zmq.ZAP_DOMAIN, ZAP_DOMAIN)
  # Without an authenticator all clients are rejected instead of accepted.
  zmq_socket.setsockopt(zmq.ZAP_ENFORCE_DOMAIN, 1)


def configure_curve_client(zmq_socket: zmq.Socket, keys: PeerKeys) -> None:
  """Makes a socket a CurveZMQ client. Must be called before it connects."""
  zmq_socket.setsockopt_string(zmq.CURVE_SERVERKEY, keys.public)
  zmq_socket.setsockopt_string(zmq.CURVE_PUBLICKEY, keys.public)
  zmq_socket.setsockopt_string(zmq.CURVE_SECRETKEY, keys.secret)


class PeerAuthenticator:
  """Accepts clients that hold the key pair of the deployment.

  Attributes:
    socket: Becomes readable when a handshake is pending.
    refused: Number of handshakes refused since the start.
  """

  def __init__(self, context: zmq.Context, keys: PeerKeys):
    """Binds the socket that receives the handshakes of a ZeroMQ context.

    Args:
      context: Context of the listeners; it may have only one authenticator.
      keys: The key pair of the deployment.
    """
    self.refused = 0
    self._public = keys.public.encode()
    self._authenticator = zmq.auth.Authenticator(context)
    self._authenticator.configure_curve_callback(ZAP_DOMAIN, self)
    self._authenticator.start()
    self.socket = self._authenticator.zap_socket

  def callback(self, domain: str, key: bytes) -> bool:
    """Returns whether to accept a client key. Called by pyzmq."""
    del domain  # All listeners use the same authentication domain.
    if hmac.compare_digest(key, self._public):
      return True
    self.refused += 1
    return False

  def handle_handshakes(self, max_handshakes: int) -> None:
    """Handles pending handshakes without blocking.

    Args:
      max_handshakes: Maximum number of handshakes to handle in this call.
    """
    for _ in range(max_handshakes):
      try:
        frames = self.socket.recv_multipart(zmq.NOBLOCK)
      except zmq.Again:
        return
      _run_without_event_loop(self._authenticator.handle_zap_message(frames))


def _run_without_event_loop(coroutine: Any) -> None:
  """Runs a coroutine that never suspends, without an event loop."""
  try:
    coroutine.send(None)
  except StopIteration:
    return
  coroutine.close()
  raise RuntimeError('the authenticator coroutine suspended unexpectedly')
