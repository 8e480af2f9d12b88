"""Ports for stand-ins, given out by several processes at once."""

import socket
import subprocess
import sys

import pytest

from arbutuschute import errors
from arbutuschute.standin import world

PROCESSES = 6
PORTS_EACH = 450
GIVE_OUT = f"""
from arbutuschute.standin import world
print(*world.find_free_ports({PORTS_EACH}), flush=True)
input()
"""


def test_processes_side_by_side_never_give_out_the_same_port():
    running = [
        subprocess.Popen(
            [sys.executable, '-c', GIVE_OUT],
            stdin=subprocess.PIPE,
            stdout=subprocess.PIPE,
            text=True,
        )
        for _ in range(PROCESSES)
    ]
    ports = [int(p) for run in running for p in run.stdout.readline().split()]
    for run in running:
        run.communicate('\n')
    assert len(ports) == len(set(ports)) == PROCESSES * PORTS_EACH


def test_port_that_is_listened_on_is_passed_over(monkeypatch):
    monkeypatch.setattr(world, '_port_numbers', iter([9_001, 9_002]))
    with socket.socket() as taken:
        taken.bind((world.HOST, 9_001))
        taken.listen()
        assert world.find_free_ports(1) == [9_002]


def test_when_all_ports_are_given_out_that_is_said(monkeypatch):
    monkeypatch.setattr(world, '_claim_blocks', lambda: ())
    monkeypatch.setattr(world, '_port_numbers', world._count_ports())
    with pytest.raises(errors.NoFreePort):
        world.find_free_ports(1)
