"""Keys of organisations: who calls, and whether the configuration in force still allows it."""
