"""State of an entry that its HTTP edge reads: configuration, hosts, readiness.

Each value is immutable and is replaced as a whole by one task, so that readers
never see a partial change.
"""

from mulberrypick.core import records


class EntryState:
  """Current configuration, hosts and readiness of an entry."""

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
    """The current list of hosts."""
    return self._hosts

  @property
  def is_ready(self) -> bool:
    """Whether new requests should be sent here."""
    return self._has_started and not self._is_draining

  @property
  def is_draining(self) -> bool:
    """Whether the process is shutting down."""
    return self._is_draining

  def update_config(self, config: records.Config) -> None:
    """Replaces the configuration if the new one has a higher generation."""
    if config.generation > self._config.generation:
      self._config = config

  def update_hosts(self, hosts: tuple[records.Host, ...]) -> None:
    """Replaces the list of hosts."""
    self._hosts = hosts

  def set_started(self) -> None:
    """Marks startup as complete; configuration and hosts were requested."""
    self._has_started = True

  def set_draining(self) -> None:
    """Marks the process as shutting down."""
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
