"""arbutuschute: a model-aware router for versions and cascades."""
