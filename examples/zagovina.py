"""Zagovina Prevoz: sawdust pickups around Celje, three zones in si-east.

Requests of drivers and foremen are urgent, since a driver at a blocked gate
cannot wait. Requests of pellet buyers are not urgent. Bookings must not be
repeated, since a duplicate sends two trucks to the same stack.

    python -m examples.zagovina > zagovina.json
    mulberrypick plan zagovina.json
"""

from mulberrypick import declare


def make_deployment() -> declare.Deployment:
  """Returns the deployment of this operator."""
  deployment = declare.Deployment()

  # Two ranks with very different latency targets and business value.
  urgent = deployment.add_rank(
      'urgent',
      is_urgent=True,
      first_token_s=0.5,
      between_tokens_s=0.05,
      deadline_s=6.0,
      reserve=0.6,
  )
  other = deployment.add_rank(
      'other',
      is_urgent=False,
      first_token_s=15.0,
      between_tokens_s=0.2,
      deadline_s=180.0,
      reserve=0.2,
  )

  # One model on four engines. It is loaded with two adapters: `roads` answers
  # questions about roads, `stock` those about the sawdust in stock (yards and
  # bales).
  assistant = deployment.add_model(
      'dispatch-assistant',
      version='2026-10',
      replicas=4,
      adapters=('roads', 'stock'),
  )

  road_questions = deployment.add_model_service(
      'road-questions',
      model=assistant,
      adapter='roads',
      rank=urgent,
      timeout_s=5.0,
  )
  stock_forecast = deployment.add_model_service(
      'stock-forecast',
      model=assistant,
      adapter='stock',
      rank=other,
      timeout_s=120.0,
  )

  # The replicas of this service are not declared here: the platform's list of
  # hosts names all three. Each call runs at most once.
  booking_desk = deployment.add_plain_service(
      'booking-desk',
      rank=urgent,
      is_repeatable=False,
      timeout_s=10.0,
  )

  deployment.add_tenant(
      'drivers',
      share=0.45,
      services=(road_questions,),
      ranks=(urgent,),
  )
  deployment.add_tenant(
      'mill-foremen',
      share=0.2,
      services=(booking_desk, road_questions),
      ranks=(urgent,),
  )
  deployment.add_tenant(
      'pellet-buyers',
      share=0.2,
      services=(stock_forecast,),
      ranks=(other,),
  )
  deployment.add_tenant(
      'office',
      share=0.15,
      services=(booking_desk, road_questions, stock_forecast),
      ranks=(urgent, other),
  )
  return deployment


if __name__ == '__main__':
  make_deployment().print_json()
