"""Deployment for the demo: two zones, two models, one booking service.

python -m examples.small_town > small_town.json
mulberrypick plan small_town.json
mulberrypick apply small_town.json --planned-on 0
"""

from mulberrypick import declare

REPLICAS = 4


def make_deployment() -> declare.Deployment:
  """Returns the deployment that the demo applies."""
  deployment = declare.Deployment()
  urgent = deployment.add_rank(
      'urgent',
      is_urgent=True,
      first_token_s=0.48,
      between_tokens_s=0.05,
      deadline_s=20.0,
      reserve=0.5,
  )
  other = deployment.add_rank(
      'other',
      is_urgent=False,
      first_token_s=10.0,
      between_tokens_s=0.5,
      deadline_s=60.0,
      reserve=0.3,
  )
  yard_talk = deployment.add_model('yard-talk', version='1', replicas=REPLICAS)
  long_read = deployment.add_model('long-read', version='1', replicas=REPLICAS)
  assistant = deployment.add_model_service(
      'dispatch-assistant', model=yard_talk, rank=urgent, timeout_s=30.0
  )
  guide = deployment.add_model_service(
      'reading-guide', model=long_read, rank=other, timeout_s=60.0
  )
  desk = deployment.add_plain_service(
      'booking-desk', rank=urgent, is_repeatable=False, timeout_s=5.0
  )
  deployment.add_tenant(
      'drivers', share=0.4, services=(assistant,), ranks=(urgent,)
  )
  deployment.add_tenant('circles', share=0.4, services=(guide,), ranks=(other,))
  deployment.add_tenant('mills', share=0.2, services=(desk,), ranks=(urgent,))
  return deployment


if __name__ == '__main__':
  make_deployment().print_json()
