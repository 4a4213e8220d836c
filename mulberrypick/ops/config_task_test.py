"""Tests of the distribution of configurations, over real sockets."""

import threading
import time
import unittest

from mulberrypick.adapters import memory_platform
from mulberrypick.core import records
from mulberrypick.ops import config_apply
from mulberrypick.ops import config_apply_test
from mulberrypick.ops import config_task
from standins import partitioned_peers

WAIT_S = 30.0
ZONES = ('zone-a', 'zone-b', 'zone-c')


class Node:
  """The configuration task of an entry host, with its peers."""

  def __init__(self, cluster: 'Cluster', name: str, zone: str):
    self.name = name
    self.zone = zone
    self.published = []
    self.peers = partitioned_peers.PartitionedPeers(
        cluster.partitions, zone, name
    )
    platform = partitioned_peers.PartitionedPlatform(
        cluster.platform, cluster.partitions, zone
    )
    self.task = config_task.ConfigTask(
        platform,
        self.peers,
        name,
        cluster.list_addresses,
        self.published.append,
        lambda: cluster.list_addresses(zone),
    )

  def start(self) -> None:
    self.peers.start()

  def stop(self) -> None:
    self.task.stop()
    self.peers.stop()

  def generations(self) -> list[int]:
    return [config.generation for config in self.published]


class Cluster:
  """Several entry hosts in three zones that share one platform."""

  def __init__(self, test: unittest.TestCase, per_zone: int):
    self.test = test
    self.platform = memory_platform.MemoryPlatform()
    self.partitions = partitioned_peers.Partitions()
    self.node_by_name = {}
    for number in range(per_zone * len(ZONES)):
      self.add(f'entry-{number}', ZONES[number % len(ZONES)])
    for node in self.node_by_name.values():
      node.task.start()

  def add(self, name: str, zone: str) -> Node:
    node = Node(self, name, zone)
    node.start()
    self.node_by_name[name] = node
    self.test.addCleanup(node.stop)
    return node

  def list_addresses(self, zone: str = '') -> list[str]:
    return [
        node.peers.address
        for node in list(self.node_by_name.values())
        if not zone or node.zone == zone
    ]

  def apply(self, planned_on: int) -> None:
    text = config_apply_test.make_text(40, version=str(planned_on))
    config_apply.apply_config(self.platform, text, planned_on, 'ana')

  def wait(self, check) -> None:
    deadline = time.monotonic() + WAIT_S
    while not check():
      if time.monotonic() > deadline:
        states = [
            (n.name, n.task.generation, n.task.is_ready)
            for n in self.node_by_name.values()
        ]
        self.test.fail(f'condition not met in time; hosts: {states}')
      time.sleep(0.02)

  def wait_generation(self, generation: int, zone: str = '') -> None:
    nodes = [
        node
        for node in self.node_by_name.values()
        if not zone or node.zone == zone
    ]
    self.wait(lambda: all(n.task.generation == generation for n in nodes))

  def wait_ready(self) -> None:
    nodes = self.node_by_name.values()
    self.wait(lambda: all(n.task.is_ready for n in nodes))


class TestConfigTask(unittest.TestCase):

  def assert_published_in_order(self, cluster: Cluster) -> None:
    for node in cluster.node_by_name.values():
      generations = node.generations()
      self.assertEqual(generations, sorted(set(generations)), node.name)

  def test_changes_reach_all_hosts_in_order(self):
    cluster = Cluster(self, 2)
    cluster.wait_ready()
    for planned_on in range(4):
      cluster.apply(planned_on)
    cluster.wait_generation(4)
    self.assert_published_in_order(cluster)
    for node in cluster.node_by_name.values():
      config = node.published[-1]
      self.assertEqual(config.model_by_name['small'].version, '3')
      self.assertEqual(len(config.tenant_by_name), 40)

  def test_a_fresh_process_learns_from_peers_during_an_outage(self):
    cluster = Cluster(self, 2)
    cluster.apply(0)
    cluster.wait_generation(1)
    cluster.wait_ready()
    cluster.platform.set_unavailable(True)
    fresh = cluster.add('fresh', 'zone-a')
    fresh.task.start()
    cluster.wait(lambda: fresh.task.is_ready)
    self.assertEqual(fresh.task.generation, 1)
    self.assertEqual(fresh.generations(), [1])

  def test_a_fresh_process_without_any_connection_is_not_ready(self):
    cluster = Cluster(self, 1)
    cluster.wait_ready()
    cluster.partitions.cut('zone-x')
    fresh = cluster.add('fresh', 'zone-x')
    fresh.task.start()
    time.sleep(3 * config_task.STARTUP_GRACE_S)
    self.assertFalse(fresh.task.is_ready)
    cluster.partitions.heal('zone-x')
    cluster.wait(lambda: fresh.task.is_ready)

  def test_fresh_processes_do_not_make_each_other_ready(self):
    cluster = Cluster(self, 0)
    cluster.platform.set_unavailable(True)
    nodes = [cluster.add(f'fresh-{n}', 'zone-a') for n in range(3)]
    for node in nodes:
      node.task.start()
    time.sleep(3 * config_task.STARTUP_GRACE_S)
    self.assertFalse(any(node.task.is_ready for node in nodes))

  def test_a_generation_spreads_during_an_outage_right_after_acceptance(self):
    cluster = Cluster(self, 2)
    cluster.wait_ready()
    has_read = threading.Event()
    first = cluster.node_by_name['entry-0']
    publish = first.task._publish

    # Makes the platform unavailable when the first host adopts the generation.

    def cut(config: records.Config) -> None:
      cluster.platform.set_unavailable(True)
      has_read.set()
      publish(config)

    for node in cluster.node_by_name.values():
      node.task._publish = cut
    cluster.apply(0)
    self.assertTrue(has_read.wait(WAIT_S))
    cluster.wait_generation(1)

  def test_parts_come_before_the_head_and_need_no_more_reads(self):
    cluster = Cluster(self, 2)
    cluster.wait_ready()
    cluster.apply(0)
    cluster.wait_generation(1)
    before = [
        n.task.counts().platform_calls.get('get', 0)
        for n in cluster.node_by_name.values()
    ]
    self.assertEqual(sum(before), 0)

  def test_a_zone_catches_up_after_a_partition_and_never_goes_back(self):
    cluster = Cluster(self, 2)
    cluster.wait_ready()
    cluster.apply(0)
    cluster.wait_generation(1)
    cluster.partitions.cut('zone-b')
    cluster.apply(1)
    cluster.wait_generation(2, 'zone-a')
    cluster.wait_generation(2, 'zone-c')
    for node in cluster.node_by_name.values():
      if node.zone == 'zone-b':
        self.assertEqual(node.task.generation, 1)
    cluster.partitions.heal('zone-b')
    cluster.wait_generation(2)
    self.assert_published_in_order(cluster)

  def test_digests_replace_messages_lost_in_a_partition_during_an_outage(self):
    cluster = Cluster(self, 2)
    cluster.wait_ready()
    cluster.partitions.cut('zone-b')
    cluster.apply(0)
    cluster.wait_generation(1, 'zone-a')
    cluster.wait_generation(1, 'zone-c')
    cluster.platform.set_unavailable(True)
    # By now the immediate messages about the generation have been sent.
    time.sleep(2 * config_task.DIGEST_INTERVAL_S)
    cluster.partitions.heal('zone-b')
    cluster.wait_generation(1)

  def test_only_two_hosts_of_a_zone_watch(self):
    cluster = Cluster(self, 4)
    cluster.wait_ready()
    for zone in ZONES:
      watching = [
          node.name
          for node in cluster.node_by_name.values()
          if node.zone == zone and node.task.counts().is_watching
      ]
      self.assertEqual(len(watching), 2)
