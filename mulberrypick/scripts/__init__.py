"""Main functions and composition roots of the programs."""
