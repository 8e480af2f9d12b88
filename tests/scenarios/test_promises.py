"""Every promise of the brief under failure; see the .feature files."""

import pathlib

from pytest_bdd import scenarios

scenarios(str(pathlib.Path(__file__).parent))
