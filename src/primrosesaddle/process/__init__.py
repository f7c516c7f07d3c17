"""The processes of the fleet: what services each role is made of."""
