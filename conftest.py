"""Plugins of the test suite: fixtures and steps of the scenarios."""

pytest_plugins = [
    'tests.scenarios.support',
    'tests.scenarios.given_steps',
    'tests.scenarios.when_steps',
    'tests.scenarios.session_steps',
    'tests.scenarios.then_steps',
]
