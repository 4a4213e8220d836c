"""Stand-ins for platform, engines and services, and what runs on them."""
