"""Plots of experiment rows; needs matplotlib, a development dependency."""

import importlib

WIDTH_IN = 9.0
ROW_HEIGHT_IN = 0.32


def draw_rows(rows, path):
    """Write a bar chart of the rows' ratios to the baselines to a file."""
    pyplot = importlib.import_module('matplotlib.pyplot')
    drawn = [row for row in rows if row.ratio is not None]
    colours = {True: 'tab:green', False: 'tab:red', None: 'tab:grey'}
    figure, axes = pyplot.subplots(
        figsize=(WIDTH_IN, 1.0 + ROW_HEIGHT_IN * len(drawn))
    )
    axes.barh(
        [f'{row.experiment}: {row.measure}' for row in drawn],
        [row.ratio for row in drawn],
        color=[colours[row.met] for row in drawn],
    )
    axes.axvline(1.0, color='black', linewidth=0.8)
    axes.set_xscale('log')
    axes.set_xlabel('ours / baseline (green: target met, red: missed)')
    axes.invert_yaxis()
    figure.tight_layout()
    figure.savefig(path)
