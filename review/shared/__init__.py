"""Stand-ins that the cases of the review share; standard library only."""
