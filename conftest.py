"""Plugins of the test suite: the world of scenarios and their steps."""

pytest_plugins = [
    'tests.scenarios.stage',
    'tests.scenarios.given_steps',
    'tests.scenarios.when_steps',
    'tests.scenarios.session_steps',
    'tests.scenarios.then_steps',
]
