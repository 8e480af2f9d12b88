"""The experiments: the same seed gives the same figures."""

import json

from click import testing
import pytest

from arbutuschute.cli import load as load_cli
from arbutuschute.load import exposure
from arbutuschute.load import fleet
from arbutuschute.load import peak
from arbutuschute.load import slowed
from arbutuschute.load import waiting


@pytest.fixture
def short(monkeypatch):
    """Shorten the experiments; their figures are not checked here."""
    for module in (peak, slowed, waiting):
        monkeypatch.setattr(module, 'DURATION_S', 15.0)
        monkeypatch.setattr(module, 'UNTIL_S', 60.0)
    monkeypatch.setattr(exposure, 'ROLLOUTS', 4)
    monkeypatch.setattr(exposure, 'STEP_S', 20)


def read_times(jobs):
    return [(job.number, job.started_at, job.ended_at) for job in jobs]


def test_a_seed_gives_the_same_figures_every_time(short):
    assert read_times(waiting.run_ours(3)) == read_times(waiting.run_ours(3))
    assert read_times(peak.run_ours(3)) == read_times(peak.run_ours(3))
    first = slowed.run_policy(3, fleet.choose_ours, True, **slowed.OURS)
    again = slowed.run_policy(3, fleet.choose_ours, True, **slowed.OURS)
    assert first == again
    assert exposure.measure_exposure(3, True) == (
        exposure.measure_exposure(3, True)
    )


def test_another_seed_gives_other_arrivals(short):
    assert read_times(waiting.run_ours(3)) != read_times(waiting.run_ours(4))


def test_no_job_is_lost_and_no_refused_job_runs(short):
    jobs = peak.run_ours(5)
    assert all(job.is_done or job.refused for job in jobs)
    assert peak.count_refused_but_run(jobs) == 0


def test_the_command_prints_rows_for_a_program(short, monkeypatch):
    monkeypatch.setattr(exposure, 'CLEAN_ROLLOUTS', 2)
    result = testing.CliRunner().invoke(
        load_cli.main, ['experiment', 'exposure', '--seed', '3', '--json']
    )
    assert result.exit_code == 0
    rows = json.loads(result.output)
    wanted = {'measure', 'unit', 'ours', 'naive', 'ratio', 'target', 'met'}
    assert all(wanted <= row.keys() for row in rows)
