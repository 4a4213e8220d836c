"""Serving system for a fixed fleet of model engines."""

__version__ = '0.1.0'
