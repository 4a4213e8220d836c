"""Simulated platform, engines and services, and the tools that use them."""
