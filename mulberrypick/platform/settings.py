"""Reads the settings file that the platform provides for each process."""

import os
import pathlib
from typing import Any

import yaml

from mulberrypick.core import errors
from mulberrypick.core import gateway_records
from mulberrypick.platform import fields
from mulberrypick.platform import protocol

# Time to drain if the settings state none.
DEFAULT_DRAIN_MS = 2000
# Time within which a host must follow the store again if they state none.
DEFAULT_STEADY_MS = 3000
DEFAULT_HEARTBEAT_MS = 1200


def settings_path() -> pathlib.Path:
  """Returns the path of the settings file.

  Raises:
    SettingsError: The environment variable with the path is not set.
  """
  path = os.environ.get(protocol.SETTINGS_VARIABLE)
  if not path:
    fault = errors.Fault(protocol.SETTINGS_VARIABLE, 'is not set')
    raise errors.SettingsError([fault])
  return pathlib.Path(path)


def load_settings(path: pathlib.Path) -> gateway_records.GatewayHost:
  """Reads and checks the settings.

  Raises:
    SettingsError: The file can't be read, or a field is missing or has the
      wrong type.
  """
  try:
    return decode_settings(yaml.safe_load(path.read_text()))
  except (OSError, UnicodeDecodeError, yaml.YAMLError) as error:
    fault = errors.Fault(str(path), str(error))
    raise errors.SettingsError([fault]) from error


def decode_settings(data: dict[str, Any]) -> gateway_records.GatewayHost:
  """Decodes the settings.

  Raises:
    SettingsError: A field is missing or has the wrong type.
  """
  try:
    bounds = data['bounds']
    listen = data['listen']
    ready_ip, ready_port = fields.split_address(listen['ready'])
    # `controlPlane` is the address on which this host receives messages of
    # other hosts; it is listed under `seeds` in their settings.
    peer_address = listen.get('controlPlane')
    store_ip, store_port = fields.split_address(data['platform']['address'])
    peer_port = fields.split_address(peer_address)[1] if peer_address else None
    internal_ports = [int(port) for port in data.get('internalPorts') or ()]
    if peer_port is None:
      peer_port = internal_ports.pop(0)
    return gateway_records.GatewayHost(
        name=str(data['nodeName']),
        zone=str(data['zone']),
        ip=str(data['ip']),
        listen_port=fields.split_address(listen['frontend'])[1],
        ready_ip=ready_ip,
        ready_port=ready_port,
        peer_port=peer_port,
        # The ports that are free reach from the first to the last of the list.
        forward_port=internal_ports[0] if internal_ports else 0,
        seeds=tuple(data.get('seeds') or ()),
        store_ip=store_ip,
        store_port=store_port,
        is_first_start=bool(data.get('bootstrap')),
        bounds=gateway_records.PlatformLimits(
            grace_s=float(bounds['graceS']),
            budget_ratio=float(bounds['retryBudgetRatio']),
            budget_slack=float(bounds['retryBudgetSlack']),
            budget_window_s=float(bounds['budgetWindowS']),
            drain_s=float(bounds.get('drainMs', DEFAULT_DRAIN_MS)) / 1000,
            steady_s=float(bounds.get('stableWindowMs', DEFAULT_STEADY_MS))
            / 1000,
            heartbeat_s=float(data.get('heartbeatMs', DEFAULT_HEARTBEAT_MS))
            / 1000,
        ),
    )
  except fields.MALFORMED as error:
    fault = errors.Fault('settings', repr(error))
    raise errors.SettingsError([fault]) from error
