#!/bin/sh
# Builds the stand-ins of the cases: Python files that need only the standard
# library, so that there is nothing to compile; this checks that they load.
cd "$(dirname "$0")/.." || exit 1
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH=. exec python3 -c '
import review.shared.case
import review.shared.gateway
import review.shared.proxy
import review.shared.replica
import review.shared.requester
import review.shared.store
import review.shared.wire
'
