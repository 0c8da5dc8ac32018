"""The gateway process: relays calls by host and path to registered backend servers."""
