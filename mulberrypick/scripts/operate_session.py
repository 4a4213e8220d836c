"""Session of an operator's command: settings, output and error handling."""

import functools
import getpass
import sys
from collections.abc import Callable
from typing import Any
from typing import NamedTuple

import click
import msgspec

from mulberrypick.adapters import http_operator
from mulberrypick.adapters import http_platform
from mulberrypick.core import errors
from mulberrypick.core import settings

PROGRAM = 'mulberrypick'
EXIT_ERROR = 1
EXIT_USAGE = 2
EXIT_INVALID_CONFIG = 3
EXIT_CONFLICT = 4
EXIT_PLATFORM_UNAVAILABLE = 5
EXIT_OUTCOME_UNKNOWN = 6
EXIT_NOT_FOUND = 7
EXIT_PARTIAL = 8

OUTPUT_TEXT = 'text'
OUTPUT_JSON = 'json'


def _parse_optional_url(text: str) -> str:
  return settings.parse_url(text) if text else ''


SETTINGS = (
    settings.Setting(
        'platform_url', '', _parse_optional_url, 'Base URL of the platform.'
    ),
    settings.Setting(
        'source_ip',
        '',
        settings.parse_ip,
        'Local IP address of connections to the platform; empty for the'
        ' default.',
    ),
    settings.Setting(
        'entries',
        '',
        settings.parse_addresses,
        'Comma-separated addresses of the entries for operators, ip:port.',
    ),
    settings.Setting(
        'controllers',
        '',
        settings.parse_addresses,
        'Comma-separated addresses of the controllers, ip:port.',
    ),
    settings.Setting(
        'operator',
        '',
        str,
        'Your name, shown to other operators; empty for your login name.',
    ),
    settings.Setting(
        'operator_token',
        '',
        str,
        'Bearer token sent to entries and controllers; empty to send none.',
        is_secret=True,
    ),
    settings.Setting(
        'timeout_s',
        '5',
        settings.parse_seconds,
        'Timeout of calls to the platform and to hosts, in seconds.',
    ),
    settings.Setting(
        'output',
        OUTPUT_TEXT,
        settings.parse_choice(OUTPUT_TEXT, OUTPUT_JSON),
        'Output format, text or json.',
    ),
)

_HINT_BY_ERROR = (
    (
        errors.ConfigError,
        EXIT_INVALID_CONFIG,
        'fix the faults above and run it again',
    ),
    (
        errors.ConfigRaceError,
        EXIT_CONFLICT,
        'run `mulberrypick plan` again, and review what the other changed',
    ),
    (
        errors.PlatformUnavailableError,
        EXIT_PLATFORM_UNAVAILABLE,
        'nothing was changed; try again when the platform is back',
    ),
    (
        errors.ConfigUnknownError,
        EXIT_OUTCOME_UNKNOWN,
        'run `mulberrypick status` before you try again',
    ),
    (
        errors.UnknownEndpointError,
        EXIT_NOT_FOUND,
        'check the name, or use --unlisted: the list lags behind',
    ),
    (
        errors.PlatformAnswerLostError,
        EXIT_OUTCOME_UNKNOWN,
        'it may have taken effect; the same command may safely be run again',
    ),
)


class Session(NamedTuple):
  """Settings of a command, and the clients created from them.

  Attributes:
    value_by_name: The checked settings.
    output: `OUTPUT_TEXT` or `OUTPUT_JSON`.
  """

  value_by_name: dict[str, Any]
  output: str

  @property
  def operator(self) -> str:
    """Name of the operator, which is shown to other operators."""
    return self.value_by_name['operator'] or getpass.getuser()

  @property
  def platform(self) -> http_platform.HttpPlatform:
    """Client of the platform; raises `click.UsageError` if no URL is set."""
    url = self.value_by_name['platform_url']
    if not url:
      raise click.UsageError(
          'this command needs the platform: set --platform-url before it, or'
          ' MULBERRYPICK_PLATFORM_URL'
      )
    return http_platform.HttpPlatform(
        url,
        self.value_by_name['source_ip'],
        self.value_by_name['timeout_s'],
        PROGRAM,
    )

  @property
  def client(self) -> http_operator.OperatorClient:
    """Client of the HTTP endpoints of entries and controllers for operators."""
    return http_operator.OperatorClient(
        self.value_by_name['timeout_s'], self.value_by_name['operator_token']
    )

  @property
  def entries(self) -> list[str]:
    """Addresses of the entries."""
    return [str(address) for address in self.value_by_name['entries']]

  @property
  def controllers(self) -> list[str]:
    """Addresses of the controllers."""
    return [str(address) for address in self.value_by_name['controllers']]

  def show(self, record: Any, text: str) -> None:
    """Prints the text, or the record as JSON."""
    if self.output == OUTPUT_JSON:
      text = msgspec.json.format(
          msgspec.json.encode(to_builtins(record))
      ).decode()
    if text:
      click.echo(text)


def to_builtins(value: Any) -> Any:
  """Converts records to dictionaries by field names, at any depth."""
  if isinstance(value, tuple) and hasattr(value, '_asdict'):
    return {key: to_builtins(item) for key, item in value._asdict().items()}
  if isinstance(value, dict):
    return {key: to_builtins(item) for key, item in value.items()}
  if isinstance(value, list | tuple):
    return [to_builtins(item) for item in value]
  return value


def exit_with_error(session: Session, error: errors.MulberrypickError) -> None:
  """Prints an error and a hint what to do next, and exits."""
  exit_status, hint = EXIT_ERROR, 'see the error above'
  for kind, known_status, known_hint in _HINT_BY_ERROR:
    if isinstance(error, kind):
      exit_status, hint = known_status, known_hint
      break
  faults = error.faults if isinstance(error, errors.FaultsError) else []
  if session.output == OUTPUT_JSON:
    record = {
        'error': type(error).__name__,
        'message': str(error),
        'faults': faults,
        'hint': hint,
        'exit_status': exit_status,
    }
    session.show(record, '')
    sys.exit(exit_status)
  for fault in faults:
    click.echo(f'{PROGRAM}: {fault.place}: {fault.message}', err=True)
  if not faults:
    click.echo(f'{PROGRAM}: {error}', err=True)
  click.echo(f'{PROGRAM}: {hint}', err=True)
  sys.exit(exit_status)


def command(function: Callable[..., None]) -> Callable[..., None]:
  """Adds `--output`, the session and the handling of errors to a command."""

  @click.option(
      '--output',
      type=click.Choice([OUTPUT_TEXT, OUTPUT_JSON]),
      default=None,
      help='Output format.',
  )
  @click.pass_context
  @functools.wraps(function)
  def run(context: click.Context, output: str | None, **arguments: Any):
    value_by_name = context.obj
    session = Session(value_by_name, output or value_by_name['output'])
    try:
      function(session, **arguments)
    except errors.MulberrypickError as error:
      exit_with_error(session, error)

  return run
