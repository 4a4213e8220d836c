"""Entry points and composition roots of the programs."""
