"""Long randomised fault-injection runs of the router's code in virtual time."""
