"""Adapters to callers, engines, plain services, the platform and peers."""
