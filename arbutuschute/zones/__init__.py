"""Regions, availability zones and the routers in them."""
