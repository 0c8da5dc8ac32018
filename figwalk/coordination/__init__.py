"""Coordination layer: log, lease, claims, publishing, routing, roles, membership."""
