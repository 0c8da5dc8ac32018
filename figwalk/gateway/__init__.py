"""Composition of `figwalk-gateway`: relays calls by host and path to registered backend servers."""
