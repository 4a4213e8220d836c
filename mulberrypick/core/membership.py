"""Which hosts may get work, from sources that lag behind each other.

The platform's list, a peer's news and an endpoint's own refusal reach an entry
host in any order. The earliest sign of leaving wins: once an incarnation is
known to leave, an older source that still calls it live changes nothing, and
only a newer incarnation of the same name brings it back. Draining for a role
change is not leaving: it ends without a new incarnation, so it is kept with
the load reports and not here.
"""

from mulberrypick.core import records


class Membership:
  """The hosts that are known, and which of them leave."""

  def __init__(self):
    self._host_by_name: dict[str, records.Host] = {}
    self._left_incarnation_by_name: dict[str, int] = {}

  def update_hosts(self, hosts: tuple[records.Host, ...]) -> None:
    """Takes in a list of hosts; hosts that it lacks are dropped."""
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
    """Notes that an incarnation of a host leaves."""
    left = self._left_incarnation_by_name.get(name, -1)
    if incarnation > left:
      self._left_incarnation_by_name[name] = incarnation

  def host(self, name: str) -> records.Host | None:
    """Returns a host by name, leaving or not."""
    return self._host_by_name.get(name)

  def is_live(self, name: str) -> bool:
    """Tells whether a host may get new work."""
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
    """Forgets leaving hosts once they are off the list."""
    for name in list(self._left_incarnation_by_name):
      if name not in self._host_by_name:
        del self._left_incarnation_by_name[name]
