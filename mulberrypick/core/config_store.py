"""The configuration held by one process, and its updates.

A process holds one complete generation. It adopts another only if that one is
newer and complete, so it never goes back to an older generation and never mixes
two. A process starts without state and is ready once it has adopted the newest
generation announced by the platform or by peers; see the chart `config`.

Guarantee after a restart: a ready process serves a generation at least as new
as the one on the platform, if the platform could be read, and as those of all
ready peers that answered its queries. If no source that knows a newer
generation can be reached, the process serves the newest generation it was told
of, and catches up with the first message from a better informed source. If no
source can be reached, it stays unready.
"""

from typing import NamedTuple

from mulberrypick.core import chart
from mulberrypick.core import config_parts
from mulberrypick.core import errors
from mulberrypick.core import records

_CHART = chart.load_chart('config')
STATE_READY = 'ready'


class Snapshot(NamedTuple):
  """One complete generation; immutable, so other tasks may read it.

  Attributes:
    tree: The root object, called the head, and the parts that it names.
    config: The same configuration as records.
  """

  tree: config_parts.Tree
  config: records.Config


EMPTY_SNAPSHOT = Snapshot(config_parts.EMPTY_TREE, records.EMPTY_CONFIG)


class ConfigStore:
  """The configuration of one process, owned by one task.

  Attributes:
    snapshot: The current generation.
    state: State in the chart `config`.
    newest_known: Highest generation announced so far, -1 if none was.
  """

  def __init__(self):
    self.snapshot = EMPTY_SNAPSHOT
    self.state = _CHART.initial
    self.newest_known = -1
    self._leaf_by_name = {}
    self._tuple_by_value = {}

  @property
  def generation(self) -> int:
    """The current generation."""
    return self.snapshot.config.generation

  @property
  def is_ready(self) -> bool:
    """Whether the process may serve requests with its configuration."""
    return self.state == STATE_READY

  def record_generation(self, event: str, generation: int) -> None:
    """Records a generation announced by the platform or a peer.

    Args:
      event: `platform_read` or `peer_told`.
      generation: The generation; 0 if the platform has none.
    """
    self.state = chart.advance(_CHART, self.state, event)
    self.newest_known = max(self.newest_known, generation)

  def update_readiness(self) -> bool:
    """Makes the store ready if it holds the newest announced generation.

    Returns:
      Whether the store is ready.
    """
    is_newest = self.generation >= self.newest_known
    if is_newest and chart.is_allowed(_CHART, self.state, 'newest_adopted'):
      self.state = chart.advance(_CHART, self.state, 'newest_adopted')
    return self.is_ready

  def find(self, name: str) -> bytes | None:
    """Returns the bytes of a part of the current generation, or None."""
    return self.snapshot.tree.part_by_name.get(name)

  def adopt(
      self, head: config_parts.Head, part_by_name: dict[str, bytes]
  ) -> records.Config | None:
    """Adopts a generation if it is newer than the current one.

    Args:
      head: The root object of the generation, which names its parts.
      part_by_name: Its parts that the current generation does not have; others
        are ignored.

    Returns:
      The new configuration, or None if the head is not newer.

    Raises:
      ConfigError: A part is missing or does not match its name.
    """
    if head.generation <= self.generation:
      return None
    used = self._collect_parts(head, part_by_name)
    adopted = self._decode(head, used)
    self.snapshot = Snapshot(config_parts.Tree(head, used), adopted)
    return adopted

  def _collect_parts(
      self, head: config_parts.Head, part_by_name: dict[str, bytes]
  ) -> dict[str, bytes]:
    used = {}

    def find(name: str) -> bytes | None:
      value = self.find(name)
      if value is None:
        value = part_by_name.get(name)
        if value is not None and not config_parts.check_part(name, value):
          return None
      if value is not None:
        used[name] = value
      return value

    missing = config_parts.list_missing_parts(head, find)
    if missing:
      message = f'{len(missing)} parts are missing or damaged'
      raise errors.ConfigError([errors.Fault(missing[0], message)])
    return used

  def _decode(
      self, head: config_parts.Head, used: dict[str, bytes]
  ) -> records.Config:
    """Decodes a generation; unchanged leaves are not decoded again."""
    fleet = config_parts.FleetPart((), (), ())
    if head.fleet:
      fleet = config_parts.decode_fleet(head.fleet, used[head.fleet])
    leaf_by_name = {}
    tenant_by_name = {}
    for name in config_parts.list_leaves(head, used.get):
      leaf = self._leaf_by_name.get(name)
      if leaf is None:
        leaf = self._share_tuples(config_parts.decode_leaf(name, used[name]))
      leaf_by_name[name] = leaf
      for tenant in leaf:
        tenant_by_name[tenant.name] = tenant
    self._leaf_by_name = leaf_by_name
    return records.Config(
        head.generation,
        {model.name: model for model in fleet.models},
        {rank.name: rank for rank in fleet.ranks},
        {service.name: service for service in fleet.services},
        tenant_by_name,
    )

  def _share_tuples(
      self, leaf: tuple[records.Tenant, ...]
  ) -> tuple[records.Tenant, ...]:
    """Returns values with equal tuples replaced by one object, to save memory.

    Thousands of tenants have the same few lists.
    """
    share = self._tuple_by_value.setdefault
    return tuple(
        tenant._replace(
            services=share(tenant.services, tenant.services),
            ranks=share(tenant.ranks, tenant.ranks),
        )
        for tenant in leaf
    )
