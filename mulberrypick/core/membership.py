"""The known hosts, and which of them may get work.

The platform's list, messages of peers and refusals by endpoints reach an entry
host in any order. Once any of them reports an incarnation as leaving, it stays
so, even if an older list still shows it as live; only a newer incarnation of
the same name is live again. Draining for a role change is not leaving: it ends
without a new incarnation, so it is kept with the load reports.
"""

from mulberrypick.core import records


class Membership:
  """The known hosts and the leaving incarnations."""

  def __init__(self):
    self._host_by_name: dict[str, records.Host] = {}
    self._left_incarnation_by_name: dict[str, int] = {}

  def update_hosts(self, hosts: tuple[records.Host, ...]) -> None:
    """Replaces the known hosts by a list; a newer known incarnation is kept."""
    host_by_name = {}
    for host in hosts:
      known = self._host_by_name.get(host.name)
      if known is not None and known.incarnation > host.incarnation:
        host = known
      host_by_name[host.name] = host
      if host.state == records.STATE_LEAVING:
        self.mark_leaving(host.name, host.incarnation)
    self._host_by_name = host_by_name
    self._forget_gone()

  def mark_leaving(self, name: str, incarnation: int) -> None:
    """Marks an incarnation of a host, and all before it, as leaving."""
    left = self._left_incarnation_by_name.get(name, -1)
    if incarnation > left:
      self._left_incarnation_by_name[name] = incarnation

  def host(self, name: str) -> records.Host | None:
    """Returns a host by name, even if it is leaving."""
    return self._host_by_name.get(name)

  def is_live(self, name: str) -> bool:
    """Returns whether a host may get new work."""
    host = self._host_by_name.get(name)
    if host is None:
      return False
    return host.incarnation > self._left_incarnation_by_name.get(name, -1)

  def names(self) -> list[str]:
    """Returns the names of all known hosts."""
    return list(self._host_by_name)

  def entry_names(self) -> tuple[str, ...]:
    """Returns the names of the live entry hosts, sorted."""
    names = []
    for host in self._host_by_name.values():
      if host.kind == records.HOST_ENTRY and self.is_live(host.name):
        names.append(host.name)
    return tuple(sorted(names))

  def entry_count(self) -> int:
    """Returns the number of live entry hosts, at least 1."""
    return max(1, len(self.entry_names()))

  def leaving(self) -> tuple[str, ...]:
    """Returns the leaving incarnations as `name/incarnation`."""
    left = self._left_incarnation_by_name.items()
    return tuple(f'{name}/{incarnation}' for name, incarnation in left)

  def _forget_gone(self) -> None:
    """Drops the leaving incarnations of hosts that are off the list."""
    for name in list(self._left_incarnation_by_name):
      if name not in self._host_by_name:
        del self._left_incarnation_by_name[name]
