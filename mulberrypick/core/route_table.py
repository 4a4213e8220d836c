"""Selects the route and the service of a request."""

import xxhash

from mulberrypick.core import gateway_records


def match_route(
    config: gateway_records.GatewayConfig, hostname: str, path: str
) -> gateway_records.Route | None:
  """Returns the route with the longest prefix that matches the path.

  Args:
    config: The current configuration.
    hostname: Host name in the caller's request, in lower case.
    path: Path without the query.

  Returns:
    The route, None if none matches.
  """
  for route in config.routes_by_host.get(hostname, ()):
    if path.startswith(route.path_prefix):
      return route
  return None


def pick_service(route: gateway_records.Route, request_id: str) -> str:
  """Chooses a service by the route's weights.

  The choice depends only on the route and the request id, so that every host
  makes the same choice at any time.
  """
  shares = route.share_by_service
  total = sum(shares.values())
  if total <= 0 or len(shares) == 1:
    return next(iter(shares))
  remainder = xxhash.xxh3_64_intdigest(request_id.encode()) % total
  for service, weight in shares.items():
    if remainder < weight:
      return service
    remainder -= weight
  raise AssertionError(
      'service weights of the route do not add up to their total'
  )
