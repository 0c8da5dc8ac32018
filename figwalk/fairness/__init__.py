"""Shares of capacity among organisations while callers ask for more than there is."""
