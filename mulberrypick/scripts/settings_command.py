"""Creates the command line of a program from its table of settings."""

import sys
from collections.abc import Callable
from typing import Any

import click

import mulberrypick
from mulberrypick.core import errors
from mulberrypick.core import settings

EXIT_SETTINGS = 2


def make_command(
    name: str,
    table: tuple[settings.Setting, ...],
    run: Callable[[dict[str, Any]], int],
    help_text: str,
    find_faults: Callable[[dict[str, Any]], list[errors.Fault]],
) -> click.Command:
  """Creates the command of a program that runs until it is stopped.

  Args:
    name: Name of the program.
    table: Settings of the program.
    run: Runs the program with checked settings; returns the exit status.
    help_text: First lines of `--help`.
    find_faults: Returns the faults of settings that are invalid in combination.

  Returns:
    The command. If settings are invalid, it prints all faults and exits with 2.
  """

  def callback(print_settings: bool, **text_by_name: str | None) -> None:
    try:
      value_by_name = settings.parse_settings(table, text_by_name)
      faults = find_faults(value_by_name)
      if faults:
        raise errors.SettingsError(faults)
    except errors.SettingsError as error:
      for fault in error.faults:
        click.echo(f'{name}: {fault.place}: {fault.message}', err=True)
      sys.exit(EXIT_SETTINGS)
    if print_settings:
      click.echo(settings.render_settings(table, value_by_name))
      return
    sys.exit(run(value_by_name))

  parameters: list[click.Parameter] = [
      click.Option(
          [setting.flag],
          envvar=setting.variable,
          help=setting.help,
          default=None,
          show_envvar=True,
      )
      for setting in table
  ]
  parameters.append(
      click.Option(
          ['--print-settings'],
          is_flag=True,
          help='Print the settings in force and exit.',
      )
  )
  command = click.Command(
      name, callback=callback, params=parameters, help=help_text
  )
  return click.version_option(mulberrypick.__version__)(command)
