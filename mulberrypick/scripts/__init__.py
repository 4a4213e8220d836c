"""The programs: one composition root each."""
