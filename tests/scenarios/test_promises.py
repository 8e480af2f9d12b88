"""Run the scenarios of the .feature files: each promise under failure."""

import pathlib

from pytest_bdd import scenarios

scenarios(str(pathlib.Path(__file__).parent))
