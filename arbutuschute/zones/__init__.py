"""Regions, availability zones and the routers that live in them."""
