"""Plans the faults of a soak run; the seed determines the schedule.

Faults occur in series and overlap. Each fault has a duration and ends before
the run does, so that the recovery can be checked.
"""

import random
from typing import NamedTuple

from standins import retry_check

DURATION_S = 6.0
MIN_FAULTS = 4
MAX_FAULTS = 9
MAX_FAULT_DURATION_S = 1.5
# Fraction of the schedules in which the store comes back from an older copy,
# and how often it does. The duration is the age of the copy.
OLDER_FRACTION = 0.35
OLDER_KIND = 'older'
OLDER_TIMES = ('once', 'twice')
GATEWAYS = ('host-1', 'host-2', 'host-3')
DESKS = ('desk-1', 'desk-2', 'desk-3')
ENGINES = ('reader', 'writer-1', 'writer-2')
# Faulty behaviours of a single endpoint, such as answers that are missing, torn
# or wrongly marked. `full` and `held` are legitimate refusals.
MODES = ('reset', 'mute', 'stray', 'extra', 'unmarked', 'full', 'held')
ENGINE_MODES = ('reset', 'torn', 'still', 'full')
# Requests that crash the endpoints that run them: route, and a value of
# `crash_point.CrashPoint`.
CRASHERS = (
    ('unsafe', 'run'),
    ('safe', 'run'),
    ('safe', 'silent_run'),
    ('read', 'prefill'),
    ('read', 'stream'),
    ('read', 'silent_stream'),
    ('ask', 'stream'),
)
# Fraction of the schedules with such a request.
CRASHER_FRACTION = 0.5
CRASHER_KIND = 'crasher'
# Fraction of the schedules in which endpoints limit the requests per second,
# and the limits.
LIMIT_FRACTION = 0.4
LIMIT_KIND = 'limit'
LIMITS = ('0.5', '1.5', '4.0')
# Fraction of the schedules in which endpoints say that they leave, or refuse
# requests and want none for a while, in seconds.
TOLD_FRACTION = 0.4
TOLD_KIND = 'told'
LEAVING = 'leaving'
TOLD_VARIANTS = (LEAVING, '0.9', '1.5', 'soon')
# Fraction of the schedules with engines of a second software version, which
# come beside the others or replace them.
VERSION_FRACTION = 0.4
VERSION_KIND = 'version'
NEW_ENGINES = ('writer-3', 'writer-4')
NEW_SOFTWARE = 'v2'
# Fraction of the schedules in which engines fall silent for about a second and
# go on: as they are, beside changes of the configuration, without budget for
# retries, or with a single decoding engine.
SILENCE_FRACTION = 0.4
SILENCE_KIND = 'silence'
SILENCE_VARIANTS = ('alone', 'config', 'no_budget', 'few')
# Fraction of the schedules with requests that have a prompt part that crashes
# endpoints, where they crash, and how long they are sent.
PART_FRACTION = 0.25
PART_KIND = 'part'
PART_POINTS = ('run', 'stream', 'silent_run', 'silent_stream')
PART_DURATION_S = 12.0
# Fraction of the schedules in which an engine and a plain endpoint send answers
# with neither a length nor chunks, and how such a stream ends.
UNFRAMED_FRACTION = 0.4
UNFRAMED_KIND = 'unframed'
UNFRAMED_VARIANTS = ('open', 'open_cut')
# A connection that breaks ends such an answer like a complete one.
KINDS_BREAKING_CONNECTIONS = ('crash', 'mode', 'link')
# Fraction of the schedules in which endpoints break off many runs, while the
# gateways reach each other or don't.
FAILING_FRACTION = 0.3
FAILING_KIND = 'failing'
FAILING_VARIANTS = ('linked', 'cut')
# Fraction of the schedules in which gateways are cut off from endpoints, the
# gateways, and what happens to their connections.
APART_FRACTION = 0.35
APART_KIND = 'apart'
APART_TARGETS = ('host-1', 'host-2', 'host-1 host-3', 'host-2 host-3')
APART_VARIANTS = ('refused', 'hanging', 'old_alive')
# Fraction of the schedules in which requests end late in the stop of a gateway.
LATE_FRACTION = 0.25
LATE_KIND = 'late'
LATE_VARIANTS = ('body', 'pipelined')
# Grace period of a gateway, and kinds of faults beside which it is not stopped.
GRACE_S = 8.0
KINDS_ENDING_PROCESSES = ('kill', 'stop', 'pause', 'reload')
# Fraction of the schedules in which all connections to the store go silent and
# an endpoint leaves just after.
QUIET_FRACTION = 0.3
QUIET_KIND = 'quiet'
QUIET_VARIANTS = ('draining', 'removed')
# Fraction of the schedules with an endpoint that sends bytes without end, and
# what it sends.
ENDLESS_FRACTION = 0.25
ENDLESS_KIND = 'endless'
ENDLESS_VARIANTS = ('header_line', 'header_lines', 'foreign_long_body')
USUAL_RETRIES = retry_check.Bound(0.2, 50.0, 10.0)
FEW_RETRIES = retry_check.Bound(0.0, 12.0, 10.0)
NO_RETRIES = retry_check.Bound(0.0, 0.0, 10.0)
# Retries by which a changed settings file raises the bound.
MORE_SLACK = 10.0
# Time between the last repeat of such a request and the end of a run, in which
# crashed endpoints restart.
END_MARGIN_S = 0.3


class Fault(NamedTuple):
  """One scheduled fault.

  Attributes:
    at_s: When it begins, in seconds after the start.
    kind: Kind of fault, a key of `_TARGETS_BY_KIND`.
    target: Name of the gateway, endpoint or store that it affects, or several
      names; the route of a crashing request.
    duration_s: Duration of the fault.
    variant: Variant of the kind, empty if there is only one.
  """

  at_s: float
  kind: str
  target: str
  duration_s: float
  variant: str = ''


def duration_s(faults: list[Fault]) -> float:
  """Returns how long the load and the faults of a run last."""
  longest_s = DURATION_S
  for fault in faults:
    if fault.kind == LATE_KIND:
      stopped_s = fault.at_s + GRACE_S + fault.duration_s
      longest_s = max(longest_s, stopped_s + END_MARGIN_S)
    if fault.kind == PART_KIND:
      longest_s = max(longest_s, fault.at_s + fault.duration_s + END_MARGIN_S)
  return longest_s


def plan_retries(faults: list[Fault]) -> retry_check.Bound:
  """Returns the retries that the settings of gateways allow in a run."""
  for fault in faults:
    if fault.kind == SILENCE_KIND and fault.variant == 'no_budget':
      return NO_RETRIES
  if any(fault.kind == FAILING_KIND for fault in faults):
    return FEW_RETRIES
  return USUAL_RETRIES


def allowed_retries(faults: list[Fault]) -> retry_check.Bound:
  """Returns the highest bound that was in force in a run."""
  bound = plan_retries(faults)
  for fault in faults:
    if fault.kind == 'reload' and fault.variant == 'file':
      return bound._replace(slack=bound.slack + MORE_SLACK)
  return bound


def plan_faults(seed: int) -> list[Fault]:
  """Draws the faults of a run from a seed; returns them earliest first."""
  rng = random.Random(seed)
  faults = []
  for _ in range(rng.randint(MIN_FAULTS, MAX_FAULTS)):
    kind = rng.choice(tuple(_TARGETS_BY_KIND))
    targets, variants = _TARGETS_BY_KIND[kind]
    target = rng.choice(targets)
    if kind == 'mode' and target in ENGINES:
      variants = ENGINE_MODES
    faults.append(
        Fault(
            round(rng.uniform(0.3, DURATION_S - MAX_FAULT_DURATION_S - 0.5), 2),
            kind,
            target,
            round(rng.uniform(0.3, MAX_FAULT_DURATION_S), 2),
            rng.choice(variants),
        )
    )
  faults.sort()
  faults = _drop_overlapping(faults)
  faults += _plan_crashers(seed) + _plan_limits(seed) + _plan_versions(seed)
  faults += _plan_silences(seed) + _plan_failing(seed)
  faults += _plan_parts(seed) + _plan_apart(seed)
  faults += _plan_unframed(seed, faults)
  faults += _plan_told(seed, faults) + _plan_older(seed)
  faults += _plan_late(seed, faults) + _plan_quiet(seed, faults)
  faults += _plan_endless(seed)
  return sorted(faults)


def _plan_crashers(seed: int) -> list[Fault]:
  """Draws the crashing requests of a run.

  They have a random number generator of their own, so that the other faults of
  a seed are the same as before there were such requests.
  """
  rng = random.Random(f'crashers of {seed}')
  if rng.random() >= CRASHER_FRACTION:
    return []
  at_s = round(rng.uniform(0.3, 0.8), 2)
  faults = []
  for route, point in rng.sample(CRASHERS, rng.randint(1, 2)):
    duration_s = round(DURATION_S - END_MARGIN_S - at_s, 2)
    faults.append(Fault(at_s, CRASHER_KIND, route, duration_s, point))
  return faults


def _plan_limits(seed: int) -> list[Fault]:
  """Draws the endpoints that limit the requests per second in a run."""
  rng = random.Random(f'limits of {seed}')
  if rng.random() >= LIMIT_FRACTION:
    return []
  faults = []
  for name in rng.sample(DESKS + ENGINES, rng.randint(1, 3)):
    at_s = round(rng.uniform(0.2, 0.8), 2)
    duration_s = round(DURATION_S - at_s - 0.1, 2)
    faults.append(Fault(at_s, LIMIT_KIND, name, duration_s, rng.choice(LIMITS)))
  return faults


def _plan_told(seed: int, others: list[Fault]) -> list[Fault]:
  """Draws the endpoints that leave or want nothing for a while, in a run.

  Args:
    seed: The seed.
    others: The other faults; their endpoints are left out.
  """
  rng = random.Random(f'told of {seed}')
  if rng.random() >= TOLD_FRACTION:
    return []
  taken = {fault.target for fault in others}
  if any(fault.kind in (SILENCE_KIND, VERSION_KIND) for fault in others):
    taken.update(ENGINES)
  faults = []
  for name in rng.sample(DESKS + ENGINES, rng.randint(1, 2)):
    at_s = round(rng.uniform(0.2, 0.8), 2)
    duration_s = round(DURATION_S - at_s - END_MARGIN_S, 2)
    variant = rng.choice(TOLD_VARIANTS)
    if name not in taken:
      faults.append(Fault(at_s, TOLD_KIND, name, duration_s, variant))
  return faults


def _plan_versions(seed: int) -> list[Fault]:
  """Draws whether engines of a second version come, and how."""
  rng = random.Random(f'versions of {seed}')
  if rng.random() >= VERSION_FRACTION:
    return []
  at_s = round(rng.uniform(0.2, 0.8), 2)
  duration_s = round(DURATION_S - at_s - END_MARGIN_S, 2)
  variant = rng.choice(('beside', 'replace'))
  return [Fault(at_s, VERSION_KIND, NEW_ENGINES[0], duration_s, variant)]


def _plan_silences(seed: int) -> list[Fault]:
  """Draws whether engines fall silent, and beside what."""
  rng = random.Random(f'silences of {seed}')
  if rng.random() >= SILENCE_FRACTION:
    return []
  at_s = round(rng.uniform(0.2, 0.6), 2)
  duration_s = round(DURATION_S - at_s - END_MARGIN_S, 2)
  variant = rng.choice(SILENCE_VARIANTS)
  return [Fault(at_s, SILENCE_KIND, 'engines', duration_s, variant)]


def _plan_parts(seed: int) -> list[Fault]:
  """Draws whether a prompt part crashes endpoints, and where."""
  rng = random.Random(f'parts of {seed}')
  if rng.random() >= PART_FRACTION:
    return []
  at_s = round(rng.uniform(0.2, 0.6), 2)
  point = rng.choice(PART_POINTS)
  return [Fault(at_s, PART_KIND, 'read', PART_DURATION_S, point)]


def _plan_apart(seed: int) -> list[Fault]:
  """Draws whether gateways are cut off from all endpoints, and how."""
  rng = random.Random(f'apart of {seed}')
  if rng.random() >= APART_FRACTION:
    return []
  at_s = round(rng.uniform(0.2, 0.6), 2)
  duration_s = round(DURATION_S - at_s - END_MARGIN_S, 2)
  target, variant = rng.choice(APART_TARGETS), rng.choice(APART_VARIANTS)
  return [Fault(at_s, APART_KIND, target, duration_s, variant)]


def _plan_failing(seed: int) -> list[Fault]:
  """Draws whether endpoints fail, and whether gateways are apart then."""
  rng = random.Random(f'failing of {seed}')
  if rng.random() >= FAILING_FRACTION:
    return []
  at_s = round(rng.uniform(0.2, 0.6), 2)
  duration_s = round(DURATION_S - at_s - END_MARGIN_S, 2)
  variant = rng.choice(FAILING_VARIANTS)
  return [Fault(at_s, FAILING_KIND, 'endpoints', duration_s, variant)]


def _plan_older(seed: int) -> list[Fault]:
  """Draws whether the store comes back from an older copy, and how often."""
  rng = random.Random(f'older of {seed}')
  if rng.random() >= OLDER_FRACTION:
    return []
  at_s = round(rng.uniform(0.2, 1.5), 2)
  duration_s = round(rng.uniform(1.0, 2.5), 2)
  return [Fault(at_s, OLDER_KIND, 'store', duration_s, rng.choice(OLDER_TIMES))]


def _plan_late(seed: int, others: list[Fault]) -> list[Fault]:
  """Draws the gateway whose stop meets requests that end late, if any.

  Args:
    seed: The seed.
    others: The other faults; gateways that end otherwise are left out.
  """
  rng = random.Random(f'late of {seed}')
  name, variant = rng.choice(GATEWAYS), rng.choice(LATE_VARIANTS)
  if rng.random() >= LATE_FRACTION:
    return []
  for fault in others:
    if fault.kind == APART_KIND:
      return []
    if fault.kind in KINDS_ENDING_PROCESSES and fault.target == name:
      return []
  at_s = round(rng.uniform(0.3, 1.0), 2)
  return [Fault(at_s, LATE_KIND, name, 0.5, variant)]


def _plan_quiet(seed: int, others: list[Fault]) -> list[Fault]:
  """Draws the endpoint that leaves beside silent connections, if any.

  Args:
    seed: The seed.
    others: The other faults; their endpoints are left out.
  """
  rng = random.Random(f'quiet of {seed}')
  name, variant = rng.choice(DESKS), rng.choice(QUIET_VARIANTS)
  if rng.random() >= QUIET_FRACTION:
    return []
  if any(fault.target == name for fault in others):
    return []
  at_s = round(rng.uniform(0.3, 1.5), 2)
  return [Fault(at_s, QUIET_KIND, name, rng.choice((0.2, 0.5, 1.0)), variant)]


def _plan_endless(seed: int) -> list[Fault]:
  """Draws what an endpoint sends without end, if one does."""
  rng = random.Random(f'endless of {seed}')
  variant = rng.choice(ENDLESS_VARIANTS)
  if rng.random() >= ENDLESS_FRACTION:
    return []
  at_s = round(rng.uniform(0.3, 1.5), 2)
  return [Fault(at_s, ENDLESS_KIND, 'endless', 3.0, variant)]


def _plan_unframed(seed: int, faults: list[Fault]) -> list[Fault]:
  """Draws whether endpoints send unframed answers, and which ones.

  Args:
    seed: The seed.
    faults: The other faults.
  """
  rng = random.Random(f'unframed of {seed}')
  if rng.random() >= UNFRAMED_FRACTION:
    return []
  broken = set()
  for fault in faults:
    if fault.kind in (CRASHER_KIND, PART_KIND, APART_KIND, 'kill'):
      return []
    if fault.kind in KINDS_BREAKING_CONNECTIONS:
      broken.add(fault.target)
  unframed = []
  for names in (DESKS, ENGINES[1:]):
    name = rng.choice(names)
    at_s = round(rng.uniform(0.2, 0.6), 2)
    duration_s = round(DURATION_S - at_s - END_MARGIN_S, 2)
    variant = rng.choice(UNFRAMED_VARIANTS)
    if name not in broken:
      unframed.append(Fault(at_s, UNFRAMED_KIND, name, duration_s, variant))
  return unframed


def _drop_overlapping(faults: list[Fault]) -> list[Fault]:
  """Drops faults that overlap a fault of the same group and target."""
  kept, free_at = [], {}
  for fault in faults:
    group = _GROUP_BY_KIND.get(fault.kind, fault.kind)
    key = (group, fault.target)
    if fault.at_s < free_at.get(key, 0.0):
      continue
    free_at[key] = fault.at_s + fault.duration_s + 0.1
    kept.append(fault)
  return kept


_ALL = DESKS + ENGINES
_TARGETS_BY_KIND = {
    'kill': (GATEWAYS, ('',)),
    'stop': (GATEWAYS, ('',)),
    'pause': (GATEWAYS, ('',)),
    'reload': (GATEWAYS, ('signal', 'file')),
    'crash': (_ALL, ('same_port', 'other_port')),
    'leave': (_ALL, ('draining', 'removed')),
    'mode': (_ALL, MODES),
    'link': (_ALL, ('delay', 'break', 'cut', 'hold', 'hold_back')),
    'store': (('store',), ('busy', 'silent', 'reset')),
    'store_link': (GATEWAYS, ('cut', 'hold', 'hold_back')),
    'history': (('store',), ('',)),
    'config': (('store',), ('once', 'series')),
}
_GROUP_BY_KIND = {
    'kill': 'process',
    'stop': 'process',
    'pause': 'process',
    'crash': 'replica',
    'leave': 'replica',
}
