"""The entry process: callers' HTTP API, routing, retries and operator API."""
