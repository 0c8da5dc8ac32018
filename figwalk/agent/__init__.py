"""The agent process, which runs beside each backend server and forwards its calls."""
