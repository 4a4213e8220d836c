"""Adapters for callers, engines, plain services, the platform and peers."""
