"""Runs gateways and prompt agents as the deploy file does, for the cases 6 to 10."""
