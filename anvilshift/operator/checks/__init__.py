"""What is wrong with a configuration, and what it would change, before it is sent."""
