"""Stand-ins and process control shared by the scripts of the review cases."""
