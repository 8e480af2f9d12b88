"""The ``arbutuschute-load`` command: experiments on routing decisions."""

import click

from arbutuschute.cli import output
from arbutuschute.load import experiments as experiments_module
from arbutuschute.load import plots

seed_option = click.option('--seed', type=int, default=1, show_default=True)
json_option = click.option('--json', 'as_json', is_flag=True)
plot_option = click.option(
    '--plot',
    type=click.Path(),
    help='Write a bar chart of the ratios to this file.',
)


@click.group(context_settings={'help_option_names': ['-h', '--help']})
def main():
    """Compare routing decisions with naive baselines, on a virtual clock.

    The same seed gives the same figures, except for the time that one
    choice takes, which is read from the real clock.
    """


@main.command()
@click.argument(
    'name', type=click.Choice(list(experiments_module.EXPERIMENTS))
)
@seed_option
@json_option
@plot_option
def experiment(name, seed, as_json, plot):
    """Run the experiment NAME."""
    _print_rows(experiments_module.EXPERIMENTS[name](seed), as_json, plot)


@main.command()
@seed_option
@json_option
@plot_option
def experiments(seed, as_json, plot):
    """Run all six experiments; takes several minutes."""
    rows = []
    for name, run in experiments_module.EXPERIMENTS.items():
        click.echo(f'{name} ...', err=True)
        rows.extend(run(seed))
    _print_rows(rows, as_json, plot)


def _print_rows(rows, as_json, plot):
    if plot:
        plots.draw_rows(rows, plot)
    if as_json:
        output.print_json(rows)
        return
    output.print_table(
        'Measures',
        [
            {name: getattr(row, name) for name in row.__struct_fields__}
            for row in rows
        ],
    )


if __name__ == '__main__':
    main()
