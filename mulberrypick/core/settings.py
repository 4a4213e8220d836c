"""Settings of the programs, validated together at start.

Each program lists its settings as records. Command line flags, environment
variables, validation and the documentation of settings are derived from that
list. `scripts/settings_command.py` builds the command line from it.
"""

import ipaddress
import re
from collections.abc import Callable
from collections.abc import Mapping
from typing import Any
from typing import NamedTuple

from mulberrypick.core import errors

ENVIRONMENT_PREFIX = 'MULBERRYPICK_'
_NAME = re.compile(r'[a-z0-9][a-z0-9-]{0,62}')


class Setting(NamedTuple):
  """One setting of a program.

  Attributes:
    name: Name with underscores; the flag has hyphens.
    default: Default value as text; None if a value is required.
    parse: Converts text to the typed value, or raises ValueError.
    help: One line for `--help` and the documentation of settings.
    is_secret: Whether the value must never be printed.
  """

  name: str
  default: str | None
  parse: Callable[[str], Any]
  help: str
  is_secret: bool = False

  @property
  def flag(self) -> str:
    """Command line flag that sets the value."""
    return '--' + self.name.replace('_', '-')

  @property
  def variable(self) -> str:
    """Name of the environment variable that sets the value."""
    return ENVIRONMENT_PREFIX + self.name.upper()


class Address(NamedTuple):
  """An IP address and a port."""

  ip: str
  port: int

  def __str__(self) -> str:
    return f'{self.ip}:{self.port}'


def parse_name(text: str) -> str:
  """Parses the name of a host or zone."""
  if not _NAME.fullmatch(text):
    raise ValueError('must be lowercase letters, digits and hyphens')
  return text


def parse_address(text: str) -> Address:
  """Parses `ip:port`; port 0 lets the operating system choose."""
  ip, _, port = text.rpartition(':')
  try:
    ipaddress.ip_address(ip)
  except ValueError:
    raise ValueError('must be ip:port') from None
  if not port.isdigit() or int(port) > 65_535:
    raise ValueError('port must be from 0 to 65535')
  return Address(ip, int(port))


def parse_optional_address(text: str) -> Address | None:
  """Parses `ip:port`; empty text means None."""
  return parse_address(text) if text else None


def parse_addresses(text: str) -> tuple[Address, ...]:
  """Parses comma-separated `ip:port` addresses; may be empty."""
  return tuple(parse_address(part) for part in text.split(',') if part)


def parse_ip(text: str) -> str:
  """Parses an IP address; empty text is allowed and means none."""
  if text:
    try:
      ipaddress.ip_address(text)
    except ValueError:
      raise ValueError('must be an IP address') from None
  return text


def parse_url(text: str) -> str:
  """Parses a base URL."""
  if not re.fullmatch(r'https?://[^/\s]+/?', text):
    raise ValueError('must be http://ip:port')
  return text.rstrip('/')


def parse_seconds(text: str) -> float:
  """Parses a positive duration in seconds."""
  try:
    value = float(text)
  except ValueError:
    raise ValueError('must be a number of seconds') from None
  if not 0 < value < 1e6:
    raise ValueError('must be greater than 0 seconds and less than 1000000')
  return value


def parse_duration(text: str) -> float:
  """Parses a duration in seconds that may be 0."""
  return 0.0 if text in ('0', '0.0') else parse_seconds(text)


def parse_count(text: str) -> int:
  """Parses a positive integer below 1e9."""
  if not (text.isascii() and text.isdigit()) or not 0 < int(text) < 1e9:
    raise ValueError('must be an integer greater than 0')
  return int(text)


def parse_choice(*choices: str) -> Callable[[str], str]:
  """Returns a parser that accepts only the given words."""

  def parse(text: str) -> str:
    if text not in choices:
      raise ValueError(f'must be one of {", ".join(choices)}')
    return text

  return parse


def parse_settings(
    table: tuple[Setting, ...], text_by_name: Mapping[str, str | None]
) -> dict[str, Any]:
  """Parses and validates all settings of a program.

  Args:
    table: The settings of the program.
    text_by_name: Values from flags and environment variables, None if not set.

  Returns:
    The typed values by name.

  Raises:
    SettingsError: Some settings are invalid; the error lists all faults.
  """
  faults = []
  value_by_name = {}
  for setting in table:
    text = text_by_name.get(setting.name)
    if text is None:
      text = setting.default
    place = f'{setting.flag} ({setting.variable})'
    if text is None:
      faults.append(errors.Fault(place, 'is not set'))
      continue
    try:
      value_by_name[setting.name] = setting.parse(text)
    except ValueError as error:
      shown = 'its value' if setting.is_secret else repr(text)
      faults.append(errors.Fault(place, f'{shown} {error}'))
  if faults:
    raise errors.SettingsError(faults)
  return value_by_name


def render_settings(
    table: tuple[Setting, ...], value_by_name: Mapping[str, Any]
) -> str:
  """Renders settings as `VARIABLE=value` lines, with secrets masked."""
  lines = []
  for setting in table:
    value = value_by_name[setting.name]
    shown = '***' if setting.is_secret and value else value
    lines.append(f'{setting.variable}={"" if shown is None else shown}')
  return '\n'.join(lines)
