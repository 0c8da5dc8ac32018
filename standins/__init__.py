"""Small stand-ins for the platform and the backend servers, for tests and demos."""
