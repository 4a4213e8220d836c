"""The operators' command `mulberrypick`.

Exit status: 0 success; 1 any other error; 2 invalid usage or settings; 3
invalid configuration; 4 another operator changed the configuration first; 5 the
platform is unavailable, and nothing was changed; 6 the outcome is unknown; 7
not found; 8 success, but some hosts did not answer.
"""

import sys
from typing import Any
from typing import TextIO

import click
from click import shell_completion

import mulberrypick
from mulberrypick.core import config
from mulberrypick.core import config_diff
from mulberrypick.core import errors
from mulberrypick.core import request_timeline
from mulberrypick.core import settings
from mulberrypick.core import status
from mulberrypick.ops import config_apply
from mulberrypick.ops import config_fetch
from mulberrypick.ops import operator_actions
from mulberrypick.scripts import operate_session

SHELLS = ('bash', 'zsh', 'fish')


def _check_settings(
    context: click.Context, print_settings: bool, **text_by_name: str | None
) -> None:
  """Manages the configuration and the engines of mulberrypick."""
  try:
    context.obj = settings.parse_settings(
        operate_session.SETTINGS, text_by_name
    )
  except errors.SettingsError as error:
    for fault in error.faults:
      click.echo(
          f'{operate_session.PROGRAM}: {fault.place}: {fault.message}', err=True
      )
    sys.exit(operate_session.EXIT_USAGE)
  if print_settings:
    click.echo(settings.render_settings(operate_session.SETTINGS, context.obj))
    context.exit()
  if context.invoked_subcommand is None:
    click.echo(context.get_help())
    context.exit(operate_session.EXIT_USAGE)


def _make_group() -> click.Group:
  """Creates the group of commands, with the settings as its flags."""
  parameters: list[click.Parameter] = [
      click.Option(
          [setting.flag],
          envvar=setting.variable,
          help=setting.help,
          default=None,
          show_envvar=True,
      )
      for setting in operate_session.SETTINGS
  ]
  parameters.append(
      click.Option(
          ['--print-settings'],
          is_flag=True,
          help='Print the settings in force and exit.',
      )
  )
  return click.Group(
      operate_session.PROGRAM,
      callback=click.pass_context(_check_settings),
      params=parameters,
      help=_check_settings.__doc__,
      epilog=__doc__.split('\n\n', 1)[1],
      invoke_without_command=True,
  )


main = _make_group()


@main.command()
@click.argument('file', type=click.File('rb'))
@operate_session.command
def validate(session: operate_session.Session, file: Any) -> None:
  """Checks a configuration file without connecting to the platform."""
  parsed = config.parse_config(file.read(), 0)
  count_by_section = {
      'models': len(parsed.model_by_name),
      'ranks': len(parsed.rank_by_name),
      'services': len(parsed.service_by_name),
      'tenants': len(parsed.tenant_by_name),
  }
  counts = ', '.join(f'{n} {name}' for name, n in count_by_section.items())
  session.show(count_by_section, f'valid: {counts}')


@main.command()
@click.argument('file', type=click.File('rb'))
@operate_session.command
def plan(session: operate_session.Session, file: Any) -> None:
  """Shows what a configuration file would change, and the effects."""
  result = operator_actions.plan(session.platform, file.read())
  author = f', applied by {result.operator}' if result.operator else ''
  lines = [f'planned on generation {result.planned_on}{author}']
  if result.changes:
    lines.append(config_diff.format_changes(list(result.changes)))
    lines.append(
        f'to apply: {operate_session.PROGRAM} apply {file.name}'
        f' --planned-on {result.planned_on}'
    )
  else:
    lines.append('nothing would change')
  session.show(result, '\n'.join(lines))


@main.command()
@click.argument('file', type=click.File('rb'))
@click.option(
    '--planned-on',
    type=click.IntRange(min=0),
    required=True,
    help='Generation that the change was planned on, as shown by `plan`.',
)
@operate_session.command
def apply(session: operate_session.Session, file: Any, planned_on: int) -> None:
  """Applies a configuration file, unless another was applied since its plan."""
  applied = config_apply.apply_config(
      session.platform, file.read(), planned_on, session.operator
  )
  text = f'accepted as generation {applied.generation}'
  if applied.newest > applied.generation:
    text += f'; generation {applied.newest} followed already'
  session.show(applied, text)


@main.command()
@operate_session.command
def show(session: operate_session.Session) -> None:
  """Prints the configuration in force, as canonical JSON."""
  _, current = config_fetch.read_tree(session.platform)
  text = config.format_config(current.config).decode('ascii').rstrip('\n')
  session.show(config.to_data(current.config), text)


@main.command()
@operate_session.command
def tidy(session: operate_session.Session) -> None:
  """Removes stored configuration parts that are no longer referenced."""
  removed = config_apply.tidy(session.platform)
  session.show({'removed': removed}, f'{removed} parts removed')


@main.command('status')
@operate_session.command
def show_status(session: operate_session.Session) -> None:
  """Shows the zones, hosts, engines, leases and generations in force."""
  platform = session.platform if session.value_by_name['platform_url'] else None
  if platform is None and not session.entries and not session.controllers:
    raise click.UsageError(
        'no host to ask: set --platform-url, --entries or --controllers before'
        ' the command, or their MULBERRYPICK_ variables'
    )
  report = operator_actions.read_status(
      platform, session.client, session.entries, session.controllers
  )
  session.show(report, status.format_status(report))
  if report.missing:
    sys.exit(operate_session.EXIT_PARTIAL)


@main.command()
@click.argument('endpoint')
@click.option(
    '--reason',
    default='',
    help='Reason of the drain, stored for other operators.',
)
@click.option(
    '--unlisted',
    is_flag=True,
    help='Drain the endpoint even if the platform does not list it.',
)
@operate_session.command
def drain(
    session: operate_session.Session, endpoint: str, reason: str, unlisted: bool
) -> None:
  """Drains an endpoint: it finishes its requests and gets no new ones."""
  if not unlisted:
    operator_actions.check_engine_listed(session.platform, endpoint)
  drained = operator_actions.drain(
      session.platform, endpoint, session.operator, reason
  )
  already = '' if drained.was_changed else ', as asked for before'
  session.show(
      drained,
      f'{endpoint} is to be drained{already};'
      f' see `{operate_session.PROGRAM} status`',
  )


@main.command()
@click.argument('endpoint')
@operate_session.command
def undrain(session: operate_session.Session, endpoint: str) -> None:
  """Cancels the drain of an endpoint, so that it gets requests again."""
  drained = operator_actions.undrain(session.platform, endpoint)
  if drained.was_changed:
    session.show(drained, f'{endpoint} may serve again')
    return
  session.show(drained, f'{endpoint} was not to be drained')
  sys.exit(operate_session.EXIT_NOT_FOUND)


@main.command()
@click.argument('request_id')
@click.option(
    '--logs',
    type=click.File('r'),
    help=(
        'Gateway logs to search instead of asking entries; - for standard'
        ' input.'
    ),
)
@operate_session.command
def explain(
    session: operate_session.Session, request_id: str, logs: TextIO | None
) -> None:
  """Shows why a request was routed, refused or retried."""
  if logs is not None:
    _explain_logs(session, request_id, logs)
    return
  if not session.entries:
    raise click.UsageError(
        'no entry to ask: set --entries before the command, or'
        ' MULBERRYPICK_ENTRIES'
    )
  explanation = operator_actions.explain(
      session.client, session.entries, request_id
  )
  lines = []
  for address, events in explanation.lines_by_address.items():
    lines.append(f'{address}:')
    lines.extend(f'  {line}' for line in events)
  for missing in explanation.missing:
    lines.append(f'no answer from {missing.address}: {missing.error}')
  if not explanation.lines_by_address:
    lines.append(
        f'no entry that answered knows {request_id}: entries remember the'
        ' latest requests only'
    )
  session.show(explanation, '\n'.join(lines))
  if not explanation.lines_by_address:
    sys.exit(operate_session.EXIT_NOT_FOUND)
  if explanation.missing:
    sys.exit(operate_session.EXIT_PARTIAL)


def _explain_logs(
    session: operate_session.Session, request_id: str, logs: TextIO
) -> None:
  timeline = request_timeline.build_timeline(logs, request_id)
  if not timeline:
    session.show([], f'no line names request "{request_id}"')
    sys.exit(operate_session.EXIT_NOT_FOUND)
  session.show(timeline, '\n'.join(timeline))


@main.command()
@operate_session.command
def version(session: operate_session.Session) -> None:
  """Prints the version."""
  session.show({'version': mulberrypick.__version__}, mulberrypick.__version__)


@main.command()
@click.argument('shell', type=click.Choice(SHELLS))
@operate_session.command
def completion(session: operate_session.Session, shell: str) -> None:
  """Prints a completion script for a shell, to be sourced by it."""
  kind = shell_completion.get_completion_class(shell)
  result = kind(main, {}, operate_session.PROGRAM, '_MULBERRYPICK_COMPLETE')
  session.show({'script': result.source()}, result.source())


if __name__ == '__main__':
  main()
