"""What the tasks of an entry tell its edge: configuration, hosts, readiness.

Each value is an immutable record that one task replaces whole; readers take
the reference and never see half a change.
"""

from mulberrypick.core import records


class EntryState:
  """The newest values, as the edge reads them."""

  def __init__(self) -> None:
    self._config = records.EMPTY_CONFIG
    self._hosts: tuple[records.Host, ...] = ()
    self._has_started = False
    self._is_draining = False

  @property
  def config(self) -> records.Config:
    """The configuration in force."""
    return self._config

  @property
  def hosts(self) -> tuple[records.Host, ...]:
    """The newest list of hosts."""
    return self._hosts

  @property
  def is_ready(self) -> bool:
    """Whether new callers are welcome."""
    return self._has_started and not self._is_draining

  @property
  def is_draining(self) -> bool:
    """Whether the process is about to stop."""
    return self._is_draining

  def update_config(self, config: records.Config) -> None:
    """Takes a newer configuration; an older one changes nothing."""
    if config.generation > self._config.generation:
      self._config = config

  def update_hosts(self, hosts: tuple[records.Host, ...]) -> None:
    """Takes a newer list of hosts."""
    self._hosts = hosts

  def set_started(self) -> None:
    """Notes that configuration and hosts have been asked for."""
    self._has_started = True

  def set_draining(self) -> None:
    """Notes that the process is about to stop."""
    self._is_draining = True

  def list_service_hosts(self, service: str) -> list[records.Host]:
    """Lists the live endpoints of a plain service."""
    return [
        host
        for host in self._hosts
        if host.kind == records.HOST_SERVICE
        and host.service == service
        and host.state == records.STATE_LIVE
    ]
