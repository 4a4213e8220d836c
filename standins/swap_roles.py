"""A controller that changes the role of one engine every few seconds.

It differs from the product's controller only in its role planner. It shows how
a change of role affects the requests of the zone.
"""

import functools

from mulberrypick.core import reconcile
from mulberrypick.core import records
from mulberrypick.scripts import controller
from mulberrypick.scripts import settings_command

ROLE_CHANGE_INTERVAL_S = 4.0


class SwapRoles(reconcile.RolePlanner):
  """Alternates the role of the first engine between mixed and prefill."""

  def plan(self, view: reconcile.ZoneView, now: float) -> dict[str, str]:
    """Returns the wanted role of the first engine."""
    engines = sorted(view.state_by_engine)
    if not engines:
      return {}
    is_odd = int(now / ROLE_CHANGE_INTERVAL_S) % 2
    return {engines[0]: records.ROLE_PREFILL if is_odd else records.ROLE_MIXED}


main = settings_command.make_command(
    'swap-roles',
    controller.SETTINGS,
    functools.partial(controller.run_controller, planner=SwapRoles()),
    'Changes the role of one engine every few seconds.',
    controller.find_faults,
)

if __name__ == '__main__':
  main()
