"""Reads fields of objects that any writer may have written.

Each function raises one of `MALFORMED` if the field does not hold what it
should, with its name in the message.
"""

import ipaddress
import math
from typing import Any

# What reading an object raises that is not of the form that it should have.
MALFORMED = (
    LookupError,
    TypeError,
    ValueError,
    AttributeError,
    ArithmeticError,
    RecursionError,
)
# Largest number that the messages between hosts hold.
MAX_INT = 2**63 - 1
# Hashes of requests and of prompt parts have no more bits.
MAX_HASH = 2**64 - 1
# Characters of an error about a value that are logged.
_MAX_LOGGED = 160
_MAX_PORT = 65535


def describe(error: BaseException) -> str:
  """Returns an error for a log line, whatever the value that it quotes."""
  return repr(error)[:_MAX_LOGGED]


def read_text(spec: Any, name: str, default: str | None = None) -> str:
  """Returns a text field.

  Args:
    spec: The object.
    name: Name of the field.
    default: Returned if there is no such field; None if there must be one.
  """
  value = spec[name] if default is None else spec.get(name, default)
  if not isinstance(value, str):
    raise TypeError(f'field "{name}" is {_type_of(value)}, not a text')
  return value


def read_int(
    spec: Any,
    name: str,
    default: int | None = None,
    lowest: int = 0,
    highest: int = MAX_INT,
) -> int:
  """Returns a whole number.

  Args:
    spec: The object.
    name: Name of the field.
    default: Returned if there is no such field; None if there must be one.
    lowest: Smallest value that is accepted.
    highest: Largest value that is accepted.
  """
  value = spec[name] if default is None else spec.get(name, default)
  if type(value) is not int:
    raise TypeError(f'field "{name}" is {_type_of(value)}, not a whole number')
  if not lowest <= value <= highest:
    raise ValueError(f'field "{name}" is not between {lowest} and {highest}')
  return value


def read_number(spec: Any, name: str) -> float:
  """Returns a finite number."""
  value = spec[name]
  if type(value) not in (int, float):
    raise TypeError(f'field "{name}" is {_type_of(value)}, not a number')
  number = float(value)
  if not math.isfinite(number):
    raise ValueError(f'field "{name}" is not finite')
  return number


def split_address(address: str) -> tuple[str, int]:
  """Splits `IP:PORT`.

  Raises:
    ValueError: The address has no IPv4 address, or no port that can be used.
  """
  ip, _, port = address.rpartition(':')
  ipaddress.IPv4Address(ip)
  if not port.isdecimal() or not port.isascii():
    raise ValueError(f'port of address "{address[:_MAX_LOGGED]}" is no number')
  number = int(port[: len(str(_MAX_PORT)) + 1])
  if not 1 <= number <= _MAX_PORT:
    raise ValueError(f'port of address "{address[:_MAX_LOGGED]}" is no port')
  return ip, number


def _type_of(value: Any) -> str:
  return type(value).__name__
