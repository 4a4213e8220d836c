"""Generates the pages of settings and metrics from the tables in the code.

python -m standins.write_reference          writes both pages
python -m standins.write_reference --check  exits 1 if one of them is stale

The programs check their settings and name their metrics by the same tables, so
a page that passes the check matches the programs.
"""

import pathlib
import sys

import click

from mulberrypick.core import settings
from mulberrypick.ops import metrics_task
from mulberrypick.scripts import controller
from mulberrypick.scripts import entry
from mulberrypick.scripts import operate_session

SETTINGS_PAGE = pathlib.Path('docs/SETTINGS.md')
METRICS_PAGE = pathlib.Path('docs/METRICS.md')
COMMAND = 'python -m standins.write_reference'
TABLE_BY_PROGRAM = {
    entry.PROGRAM: entry.SETTINGS,
    controller.PROGRAM: controller.SETTINGS,
    operate_session.PROGRAM: operate_session.SETTINGS,
}

_SETTINGS_HEAD = f"""# Settings

Made by `{COMMAND}`; edit the tables in the code instead.

Each setting is a flag and an environment variable; the flag wins. All are
checked at start, all faults are named at once, and the program exits with 2.
`--print-settings` prints what is in force, without secrets.
"""

_METRICS_HEAD = f"""# Metrics

Made by `{COMMAND}`; edit the table in the code instead.

Entries send these by statsd to `--statsd`, if that is set. Timers are in
milliseconds. They cover completions; calls to plain services have log lines
only. Timers also stand as HDR histograms for each tenant and rank on each
entry's `/status`; `mulberrypick status` merges them over the entries.
"""


def render_settings_page() -> str:
  """Returns the page of settings."""
  blocks = [_SETTINGS_HEAD]
  for program, table in TABLE_BY_PROGRAM.items():
    rows = [_list_setting(setting) for setting in table]
    header = ('Flag', 'Variable', 'Default', 'What it is')
    blocks.append(f'## {program}\n\n{_render_table(header, rows)}')
  return '\n'.join(blocks)


def render_metrics_page() -> str:
  """Returns the page of metrics."""
  rows = []
  for metric in metrics_task.METRICS:
    parts = (metrics_task.STATSD_PREFIX, metric.name, metric.labels)
    name = '.'.join(part for part in parts if part)
    rows.append((f'`{name}`', metric.kind, metric.help))
  table = _render_table(('Name', 'Kind', 'What it is'), rows)
  return f'{_METRICS_HEAD}\n{table}'


def render_pages() -> dict[pathlib.Path, str]:
  """Returns the text of each page by its path relative to the root."""
  return {
      SETTINGS_PAGE: render_settings_page(),
      METRICS_PAGE: render_metrics_page(),
  }


def find_stale(root: pathlib.Path) -> list[pathlib.Path]:
  """Returns the pages that are missing or differ from the code."""
  stale = []
  for path, text in render_pages().items():
    page = root / path
    if not page.exists() or page.read_text() != text:
      stale.append(path)
  return stale


def _list_setting(setting: settings.Setting) -> tuple[str, str, str, str]:
  if setting.default is None:
    default = 'has to be set'
  else:
    default = f'`{setting.default}`' if setting.default else 'empty'
  text = setting.help
  if setting.is_secret:
    text += ' Secret: never printed.'
  return f'`{setting.flag}`', f'`{setting.variable}`', default, text


def _render_table(header: tuple[str, ...], rows: list[tuple[str, ...]]) -> str:
  lines = [header, ('---',) * len(header), *rows]
  return ''.join(f'| {" | ".join(line)} |\n' for line in lines)


@click.command()
@click.option(
    '--check', is_flag=True, help='Report stale pages without writing them.'
)
def main(check: bool) -> None:
  """Writes or checks the generated pages under the current directory."""
  root = pathlib.Path.cwd()
  if not check:
    for path, text in render_pages().items():
      (root / path).write_text(text)
    return
  stale = find_stale(root)
  for path in stale:
    click.echo(f'{path} is stale: run {COMMAND}', err=True)
  sys.exit(1 if stale else 0)


if __name__ == '__main__':
  main()
