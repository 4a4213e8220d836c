"""Checks of a soak run: gateways that are cut off from all endpoints."""

from collections.abc import Iterable
from typing import NamedTuple

from standins import soak_checks

# Time after the begin of a cut from which first tries are compared.
STABLE_S = 3.0
# First tries at gateways that are cut off are to be served at least this often,
# relative to those at the others, unless few of them fail.
MIN_SERVED_RATIO = 2 / 3
MAX_FAILED = 10
MAX_FAILED_FRACTION = 1 / 50
# Ids of the requests of the usual load begin with this.
LOAD_PREFIX = 'r'


class Cut(NamedTuple):
  """A period in which gateways reached no endpoint.

  Attributes:
    gateways: Names of the gateways.
    began_at: When it began, in seconds after the start.
    ended_at: When it ended, in seconds after the start.
  """

  gateways: tuple[str, ...]
  began_at: float
  ended_at: float


def find_violations(
    observations: Iterable[soak_checks.Observation],
    cuts: list[Cut],
    disturbances: list[soak_checks.Outage],
    peer_cuts: list[soak_checks.Outage],
) -> list[str]:
  """Returns the cuts in which callers of gateways were served too rarely.

  Args:
    observations: Observations of all requests.
    cuts: The cuts.
    disturbances: Periods in which gateways were killed, paused or starting, or
      in which their path to the store was disturbed.
    peer_cuts: Periods in which gateways did not reach each other.
  """
  observations = list(observations)
  violations = []
  for cut in cuts:
    if any(
        outage.began_at < cut.ended_at and outage.ended_at > cut.began_at
        for outage in peer_cuts
    ):
      continue
    apart, others = [], []
    for observation in observations:
      if not _is_compared(observation, cut):
        continue
      is_apart = observation.gateway in cut.gateways
      # A host that just started, or helps alone and is down, proves nothing.
      if soak_checks.is_disturbed(observation, disturbances) or not _has_helper(
          observation, cut, disturbances
      ):
        continue
      (apart if is_apart else others).append(_is_served(observation))
    failed = apart.count(False)
    if not others or failed <= MAX_FAILED + MAX_FAILED_FRACTION * len(apart):
      continue
    if sum(apart) / len(apart) < MIN_SERVED_RATIO * sum(others) / len(others):
      violations.append(
          f'RECOVER: {" ".join(cut.gateways)}, cut off from'
          f' {cut.began_at:.2f} to {cut.ended_at:.2f} s, served'
          f' {sum(apart)} of {len(apart)}, the others {sum(others)} of'
          f' {len(others)}'
      )
  return violations


def _is_compared(observation: soak_checks.Observation, cut: Cut) -> bool:
  is_load = observation.request.removeprefix(LOAD_PREFIX).isdigit()
  begins_at = cut.began_at + STABLE_S
  return is_load and begins_at <= observation.began_at < cut.ended_at


def _has_helper(
    observation: soak_checks.Observation,
    cut: Cut,
    disturbances: list[soak_checks.Outage],
) -> bool:
  """Returns whether another gateway was there to help all the while."""
  for outage in disturbances:
    if outage.gateway in cut.gateways or not outage.gateway:
      continue
    if (
        outage.began_at < observation.ended_at
        and outage.ended_at + STABLE_S > observation.began_at
    ):
      return False
  return True


def _is_served(observation: soak_checks.Observation) -> bool:
  return observation.status == 200 and observation.is_whole
