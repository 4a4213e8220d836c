"""Complete example deployments, as their operators declare them."""
