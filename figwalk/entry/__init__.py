"""The entry process: callers' HTTP, routing, retries, operator API."""
