"""Reads of the platform's store that gateways of one availability zone share through agents."""
