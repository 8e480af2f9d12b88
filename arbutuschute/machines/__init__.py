"""Routers, engines and plain services as the platform lists them."""
