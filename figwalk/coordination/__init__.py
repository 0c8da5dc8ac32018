"""Coordination layer: log, lease, claims, publication, routing, roles and membership."""
