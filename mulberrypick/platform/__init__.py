"""Translation between internal records and the protocol of the platform."""
