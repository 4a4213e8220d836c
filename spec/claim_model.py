"""Specification of claims: a call that may not be repeated runs at most once.

The same call, with one idempotency key, is requested several times on either
of two entry hosts. Each request makes one claim; its nonce is the number of the
request. The platform holds one record. Conditional updates are delivered
asynchronously and may take effect after their sender stopped waiting for the
response. Versions are not modelled: an update that takes effect discards all
other updates in flight, because they name an older version. Calls to the
service are delivered in the same way. An entry may crash in any state; it
restarts at the same address without memory. Status queries between entries may
stay unanswered.

The model runs the code of the program: the state chart is `charts/claim.toml`,
`claims.apply_changes` decides how an update changes the record, and
`claims.reply_for_state` decides how the writer of a claim answers a status
query. Each broken variant replaces one of these decisions.
"""

from mulberrypick.core import chart
from mulberrypick.core import claims
from spec import check
from spec import claim_state
from spec import claim_steps

# This search takes about 20 seconds, so the unit tests leave it out.
THREE_REQUESTS = 'claim/three-requests'


def _extend_chart(state: str, event: str, target: str) -> chart.Chart:
  """Returns the chart of a claim with one forbidden transition added."""
  table = {s: dict(t) for s, t in claims.CHART.target_by_event_by_state.items()}
  table[state][event] = target
  return claims.CHART._replace(target_by_event_by_state=table)


BROKEN_BY_NAME = {
    'send-before-claim': (
        claim_state.Variant(
            _extend_chart(claims.CLAIMING, 'send', claims.SENDING)
        ),
        claim_state.AT_MOST_ONCE,
    ),
    'release-after-send': (
        claim_state.Variant(
            _extend_chart(claims.SENDING, 'release', claims.RELEASED)
        ),
        claim_state.AT_MOST_ONCE,
    ),
    'send-after-release': (
        claim_state.Variant(
            _extend_chart(claims.RELEASED, 'send', claims.SENDING)
        ),
        claim_state.NOT_RUN_IS_TRUE,
    ),
    'silence-is-never': (
        claim_state.Variant(assumes_silence_is_never_sent=True),
        claim_state.AT_MOST_ONCE,
    ),
    'guess-lost-answer': (
        claim_state.Variant(assumes_lost_write_applied=True),
        claim_state.AT_MOST_ONCE,
    ),
    'tell-before-release': (
        claim_state.Variant(reports_before_release=True),
        claim_state.NOT_RUN_IS_TRUE,
    ),
    'let-pending-go': (
        claim_state.Variant(reports_pending_as_never_sent=True),
        claim_state.AT_MOST_ONCE,
    ),
    'make-up-answer': (
        claim_state.Variant(fabricates_answer=True),
        claim_state.ONE_ANSWER,
    ),
    'answer-unrun': (
        claim_state.Variant(fabricates_answer=True),
        claim_state.ANSWER_IS_REAL,
    ),
    'drop-open': (
        claim_state.Variant(expires_open_record=True),
        claim_state.AT_MOST_ONCE,
    ),
    'no-fence': (
        claim_state.Variant(ignores_version=True),
        claim_state.AT_MOST_ONCE,
    ),
    'remove-any-nonce': (
        claim_state.Variant(requests=3, ignores_nonce_on_remove=True),
        claim_state.AT_MOST_ONCE,
    ),
}


def specifications() -> list[check.Specification]:
  """Returns the specifications of claims and their broken variants."""
  found = [
      _make_specification('claim', claim_state.Variant()),
      _make_specification(
          'claim/forwarded', claim_state.Variant(forwards_updates=True)
      ),
      _make_specification(THREE_REQUESTS, claim_state.Variant(requests=3)),
  ]
  for name, (variant, expected_violation) in BROKEN_BY_NAME.items():
    found.append(
        _make_specification(f'claim/{name}', variant, expected_violation)
    )
  return found


def _make_specification(
    name: str, variant: claim_state.Variant, expected_violation: str = ''
) -> check.Specification:
  return check.Specification(
      name,
      (claim_state.make_initial(variant.requests),),
      lambda state: claim_steps.list_moves(state, variant),
      claim_state.INVARIANT_BY_NAME,
      claim_state.MAX_STATES,
      expected_violation,
      {} if expected_violation else claim_state.WITNESS_BY_NAME,
  )
