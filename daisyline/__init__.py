"""A load balancer whose nodes stand beside the targets they protect."""
