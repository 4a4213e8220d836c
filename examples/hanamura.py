"""Hanamura Reading Circle Supplies: reading sets, four zones in Kyushu.

The company lends sets of books to reading circles. A model answers requests for
summaries and for guides to a book. The prompts are long (whole novels) and the
answers are short. Traffic peaks before the reading circles meet. Requests of a
coordinator whose group meets within the hour are urgent; requests for guides
that are prepared days ahead are not.

Loans and stock checks are requests to plain services, which are not models.
A loan must not be repeated; a stock check may be.

    python -m examples.hanamura > hanamura.json
    mulberrypick plan hanamura.json
"""

from mulberrypick import declare


def make_deployment() -> declare.Deployment:
  """Returns the deployment of this operator."""
  deployment = declare.Deployment()

  # Two ranks with very different latency targets and business value. `reserve`
  # is the fraction of the fleet that is kept for a rank under overload. It is
  # larger for the rank `other` because of its reading guides. These long
  # summaries of whole novels are most of the load, and they are what the
  # company, which lends books to reading circles, is paid for.
  urgent = deployment.add_rank(
      'urgent',
      is_urgent=True,
      first_token_s=1.0,
      between_tokens_s=0.05,
      deadline_s=20.0,
      reserve=0.35,
  )
  other = deployment.add_rank(
      'other',
      is_urgent=False,
      first_token_s=30.0,
      between_tokens_s=0.25,
      deadline_s=600.0,
      reserve=0.5,
  )

  # One model on five engines.
  guide = deployment.add_model(
      'reading-guide',
      version='4.1',
      replicas=5,
      adapters=('discussion', 'young-readers'),
  )

  # Requested immediately before a meeting begins.
  meeting_summary = deployment.add_model_service(
      'meeting-summary',
      model=guide,
      adapter='discussion',
      rank=urgent,
      timeout_s=15.0,
  )
  # The prompt holds a whole novel; requested days before a meeting.
  discussion_guide = deployment.add_model_service(
      'discussion-guide',
      model=guide,
      adapter='discussion',
      rank=other,
      timeout_s=300.0,
  )
  class_guide = deployment.add_model_service(
      'class-guide',
      model=guide,
      adapter='young-readers',
      rank=other,
      timeout_s=300.0,
  )

  # Replicas of plain services are not declared here: the platform's list of
  # hosts names them, such as the four of the lending desk. A loan runs at most
  # once. Stock checks are read-only and may be retried on any replica.
  lending_desk = deployment.add_plain_service(
      'lending-desk',
      rank=urgent,
      is_repeatable=False,
      timeout_s=10.0,
  )
  stock_check = deployment.add_plain_service(
      'stock-check',
      rank=other,
      is_repeatable=True,
      timeout_s=3.0,
      max_attempts=4,
  )

  deployment.add_tenant(
      'librarians',
      share=0.35,
      services=(discussion_guide, lending_desk, meeting_summary, stock_check),
      ranks=(urgent, other),
  )
  deployment.add_tenant(
      'teachers',
      share=0.3,
      services=(class_guide, lending_desk, stock_check),
      ranks=(urgent, other),
  )
  deployment.add_tenant(
      'circle-leaders',
      share=0.3,
      services=(discussion_guide, meeting_summary, stock_check),
      ranks=(urgent, other),
  )
  deployment.add_tenant(
      'warehouse',
      share=0.05,
      services=(stock_check,),
      ranks=(other,),
  )
  return deployment


if __name__ == '__main__':
  make_deployment().print_json()
