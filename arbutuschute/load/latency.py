"""Time of one choice in a fleet of the design size; waits for a slot."""

import random
import time

from arbutuschute.load import fleet
from arbutuschute.machines import fleet as machines_fleet
from arbutuschute.machines import instances
from arbutuschute.policy import choice
from arbutuschute.policy import pace

DURATION_S = 120.0
UNTIL_S = DURATION_S + 600.0
WARM_UP_S = 10.0
ENGINES = 9
SLOTS = 16
LOADS = (0.3, 0.5, 0.7, 0.8, 0.9)
FLEET_ENGINES = 1200
CHOICES = 20_000
CHOICE_TARGET_US = 50.0


def run_policy(seed, choose, load):
    """Return the seconds from arrival to a slot of each request."""
    simulation = fleet.Fleet(seed, ENGINES, SLOTS)
    rate_s = load * simulation.slots / fleet.compute_mean_work_s(seed)
    jobs = fleet.make_arrivals(
        seed, rate_s, DURATION_S, fleet.sample_heavy_work
    )

    def arrive(job):
        view = simulation.next_view()
        simulation.send(view, choose(view), job, lambda _: None)

    fleet.run_jobs(simulation, jobs, arrive, UNTIL_S)
    return [job.wait_s for job in jobs if job.arrived_at > WARM_UP_S]


def measure_choice():
    """Return microseconds per choice among all engines, by the real clock."""
    rng = random.Random(1)
    servers = []
    for number in range(FLEET_ENGINES):
        server = machines_fleet.BackendServer(
            instances.Instance(f'e{number}', 'engine', 'z', 'g')
        )
        server.load.slots = SLOTS
        server.in_flight = rng.randrange(SLOTS)
        servers.append(server)
    paces = pace.Pace()
    began = time.perf_counter()
    for _ in range(CHOICES):
        choice.choose_server(
            servers, paces, rng, lambda server: server.is_open(0.0)
        )
    return (time.perf_counter() - began) / CHOICES * 1e6
