"""Decodes objects of the platform store: configuration, endpoints and hosts."""

import logging
from typing import Any

import msgspec

from mulberrypick.adapters import logs
from mulberrypick.adapters import tolerant_json
from mulberrypick.core import crash_exchange
from mulberrypick.core import engine_models
from mulberrypick.core import gateway_records
from mulberrypick.core import peer_topology
from mulberrypick.platform import fields
from mulberrypick.platform import protocol

_log = logging.getLogger(__name__)
# Largest number of requests at once that an endpoint is believed to process.
MAX_SLOTS = 65536
_CALL_KIND_BY_NAME = {
    protocol.KIND_SAFE: gateway_records.CallKind.SAFE,
    protocol.KIND_UNSAFE: gateway_records.CallKind.UNSAFE,
    protocol.KIND_STREAM: gateway_records.CallKind.STREAM,
}
_STAGE_BY_NAME = {
    protocol.STAGE_PREFILL: gateway_records.Stage.PREFILL,
    protocol.STAGE_DECODE: gateway_records.Stage.DECODE,
}


def encode_host(host: peer_topology.PeerHost) -> dict[str, str]:
  """Encodes the store object of a gateway host."""
  return {'zone': host.zone, 'address': host.address}


def decode_host(name: str, spec: Any) -> peer_topology.PeerHost | None:
  """Decodes the store object of a gateway host.

  Returns:
    The host; None if the object is malformed, which is logged.
  """
  try:
    address = fields.read_text(spec, 'address')
    fields.split_address(address)
    return peer_topology.PeerHost(name, fields.read_text(spec, 'zone'), address)
  except fields.MALFORMED as error:
    logs.log_event(
        _log,
        logging.WARNING,
        'host_entry_malformed',
        host=name,
        error=fields.describe(error),
    )
    return None


def encode_speeds(speeds: engine_models.SpeedsByModel) -> dict[str, Any]:
  """Encodes the store object of the speeds of engines."""
  return {'speeds': {key: list(times) for key, times in speeds.items()}}


def decode_speeds(spec: Any) -> engine_models.SpeedsByModel:
  """Decodes the store object of the speeds of engines.

  Returns:
    The speeds; empty if the object is malformed, which is logged.
  """
  try:
    speeds = {}
    for key, (fixed_s, per_token_s) in spec['speeds'].items():
      speeds[str(key)] = (float(fixed_s), float(per_token_s))
    return speeds
  except fields.MALFORMED as error:
    logs.log_event(
        _log,
        logging.WARNING,
        'speeds_malformed',
        error=fields.describe(error),
    )
    return {}


def encode_refusal(
    fingerprint: int, reports: list[crash_exchange.CrashReport], wall_s: float
) -> tuple[str, dict[str, Any]]:
  """Encodes the crashes for which a request is refused.

  Args:
    fingerprint: Hash of the request's content.
    reports: The crashes.
    wall_s: Unix time.

  Returns:
    Name and content of the object.
  """
  crashes = []
  for report in reports:
    crashes.append(
        {
            'endpoint': report.endpoint,
            'incarnation': report.incarnation,
            'crashedAt': round(wall_s - report.age_s, 3),
            'hasToken': report.has_token,
        }
    )
  return f'{fingerprint:016x}', {'crashes': crashes}


def decode_refusal(
    name: str, spec: Any, wall_s: float
) -> list[crash_exchange.CrashReport]:
  """Decodes the crashes for which a request is refused.

  Args:
    name: Name of the object.
    spec: Its content.
    wall_s: Unix time.

  Returns:
    The crashes, empty if the object is malformed.
  """
  try:
    fingerprint = int(name, 16)
    if not 0 <= fingerprint <= fields.MAX_HASH:
      raise ValueError('the name is no hash of a request')
    return [
        crash_exchange.CrashReport(
            fields.read_text(crash, 'endpoint'),
            fields.read_int(crash, 'incarnation'),
            max(0.0, wall_s - fields.read_number(crash, 'crashedAt')),
            bool(crash['hasToken']),
            (fingerprint,),
        )
        for crash in spec['crashes']
    ]
  except fields.MALFORMED as error:
    logs.log_event(
        _log,
        logging.WARNING,
        'refusal_malformed',
        name=name,
        error=fields.describe(error),
    )
    return []


def decode_config(spec: Any) -> gateway_records.GatewayConfig | None:
  """Decodes a configuration.

  Args:
    spec: The configuration as the operator wrote it.

  Returns:
    The configuration; None if it is malformed, which is logged.
  """
  try:
    routes_by_host: dict[str, list[gateway_records.Route]] = {}
    for item in spec['routes']:
      route = _decode_route(item)
      routes_by_host.setdefault(route.hostname, []).append(route)
    for routes in routes_by_host.values():
      routes.sort(key=lambda route: -len(route.path_prefix))
    service_by_name = {}
    for item in spec['services']:
      service = _decode_service(item)
      service_by_name[service.name] = service
    limits = spec['limits']
    return gateway_records.GatewayConfig(
        version=fields.read_int(spec, 'version'),
        routes_by_host=routes_by_host,
        service_by_name=service_by_name,
        limits=gateway_records.CallerLimits(
            int(limits['maxHeaderBytes']),
            int(limits['maxBodyBytes']),
            limits['headerTimeoutMs'] / 1000,
            limits['idleTimeoutMs'] / 1000,
        ),
        raw=tolerant_json.encode(spec),
    )
  except fields.MALFORMED as error:
    logs.log_event(
        _log,
        logging.ERROR,
        'config_unreadable',
        error=fields.describe(error),
    )
    return None


def decode_config_json(raw: bytes) -> gateway_records.GatewayConfig | None:
  """Decodes a configuration that was received from another host as JSON."""
  try:
    return decode_config(tolerant_json.decode(raw, 1))
  except msgspec.DecodeError as error:
    logs.log_event(_log, logging.ERROR, 'config_unreadable', error=str(error))
    return None


def decode_endpoint(name: str, spec: Any) -> gateway_records.Endpoint | None:
  """Decodes the store object of an endpoint.

  Returns:
    The endpoint; None if the object is malformed, which is logged.
  """
  try:
    ip, port = fields.split_address(fields.read_text(spec, 'address'))
    state = fields.read_text(spec, 'state')
    if state not in (protocol.STATE_READY, protocol.STATE_LEAVING):
      raise ValueError(f'unknown state "{state}"')
    service = fields.read_text(spec, 'service')
    if not service:
      raise ValueError('field "service" is empty')
    stage = spec.get('stage')
    if stage is not None:
      stage = fields.read_text(spec, 'stage')
    software = spec.get('version')
    return gateway_records.Endpoint(
        name=name,
        started_ms=fields.read_int(spec, 'born', 0),
        service=service,
        ip=ip,
        port=port,
        zone=fields.read_text(spec, 'zone', ''),
        slots=min(max(1, _read_slots(spec)), MAX_SLOTS),
        is_leaving=state == protocol.STATE_LEAVING,
        stage=_STAGE_BY_NAME.get(stage, gateway_records.Stage.NONE),
        software=software if isinstance(software, str) else '',
    )
  except fields.MALFORMED as error:
    logs.log_event(
        _log,
        logging.WARNING,
        'endpoint_entry_malformed',
        endpoint=name,
        error=fields.describe(error),
    )
    return None


def _read_slots(spec: Any) -> int:
  """Returns the requests that an endpoint processes at once, as it says."""
  return fields.read_int(spec, 'slots', None, -fields.MAX_INT)


def _decode_route(item: dict[str, Any]) -> gateway_records.Route:
  shares = {}
  for split in item.get('trafficSplit') or ():
    shares[split['service']] = int(split['weight'])
  if not shares:
    shares[item['service']] = 1
  return gateway_records.Route(
      name=str(item['name']),
      hostname=fields.read_text(item, 'hostname').lower(),
      path_prefix=fields.read_text(item, 'pathPrefix'),
      kind=_CALL_KIND_BY_NAME[item['routeType']],
      timeout_s=item['timeoutMs'] / 1000,
      target_s=item['targetLatencyMs'] / 1000,
      rank=int(item.get('priority', 0)),
      share_by_service=shares,
      attempts=max(1, int(item.get('maxAttempts', 1))),
      is_resumable=bool(item.get('resumable')),
      gap_s=max(0.0, (item.get('gapTargetMs') or 0) / 1000),
  )


def _decode_service(item: dict[str, Any]) -> gateway_records.Service:
  engine = item.get('engine') or {}
  return gateway_records.Service(
      name=str(item['name']),
      max_connections=int(item.get('maxConnections', 0)),
      kv_tokens=int(engine.get('kvCapacity', 0)),
      batch=int(engine.get('slots', 0)),
      kv_transfer_token_s=_decode_transfer_token_s(engine),
  )


def _decode_transfer_token_s(engine: dict[str, Any]) -> float:
  """Returns the time to transfer the KV cache of a token, 0 if unknown."""
  bits_per_s = float(engine.get('linkMbps') or 0) * 1e6
  bits = 8 * float(engine.get('kvTokenBytes') or 0)
  return bits / bits_per_s if bits_per_s > 0 and bits > 0 else 0.0
