"""Complete deployments, as their operators would write them."""
