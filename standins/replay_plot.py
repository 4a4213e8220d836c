"""Draws line charts over time as SVG."""

from xml.sax import saxutils

WIDTH, HEIGHT = 720, 320
MARGIN = 48
COLORS = ('#1b6ca8', '#d1495b', '#66a182', '#8d6a9f', '#edae49')


def draw(lines: dict[str, list[float]], step_s: float, title: str) -> str:
  """Draws a chart of values between 0 and 1.

  Args:
    lines: Values of each line by its name, one for each time step.
    step_s: Time between two values.
    title: Title of the chart.

  Returns:
    The text of an SVG file.
  """
  count = max(len(values) for values in lines.values())
  plot_width, plot_height = WIDTH - 2 * MARGIN, HEIGHT - 2 * MARGIN
  parts = [
      f'<svg xmlns="http://www.w3.org/2000/svg" width="{WIDTH}"'
      f' height="{HEIGHT}" font-family="sans-serif" font-size="12">',
      f'<text x="{MARGIN}" y="20">{saxutils.escape(title)}</text>',
  ]
  for tenth in range(0, 11, 2):
    y = MARGIN + plot_height * (1 - tenth / 10)
    parts.append(
        f'<line x1="{MARGIN}" x2="{MARGIN + plot_width}" y1="{y}" y2="{y}"'
        ' stroke="#ddd"/>'
    )
    parts.append(f'<text x="12" y="{y + 4}">{tenth / 10}</text>')
  for number, (name, values) in enumerate(lines.items()):
    color = COLORS[number % len(COLORS)]
    points = []
    for place, value in enumerate(values):
      x = MARGIN + plot_width * place / max(1, count - 1)
      points.append(f'{x:.1f},{MARGIN + plot_height * (1 - value):.1f}')
    parts.append(
        f'<polyline fill="none" stroke="{color}" stroke-width="2"'
        f' points="{" ".join(points)}"/>'
    )
    x = MARGIN + 150 * number
    label = saxutils.escape(name)
    parts.append(
        f'<text x="{x}" y="{HEIGHT - 8}" fill="{color}">{label}</text>'
    )
  end_s = step_s * (count - 1)
  parts.append(
      f'<text x="{MARGIN + plot_width - 30}" y="{HEIGHT - 28}">'
      f'{end_s:.1f} s</text>'
  )
  parts.append('</svg>')
  return '\n'.join(parts)
