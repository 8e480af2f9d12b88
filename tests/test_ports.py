"""Allocation of ports to stand-ins by several processes at once."""

import socket
import subprocess
import sys

import pytest

from arbutuschute import errors
from arbutuschute.standin import cluster

PROCESSES = 6
PORTS_EACH = 450
ALLOCATE_PORTS = f"""
from arbutuschute.standin import cluster
print(*cluster.find_free_ports({PORTS_EACH}), flush=True)
input()
"""


def test_concurrent_processes_never_allocate_the_same_port():
    running = [
        subprocess.Popen(
            [sys.executable, '-c', ALLOCATE_PORTS],
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


def test_port_in_use_is_skipped(monkeypatch):
    monkeypatch.setattr(cluster, '_port_numbers', iter([9_001, 9_002]))
    with socket.socket() as taken:
        taken.bind((cluster.HOST, 9_001))
        taken.listen()
        assert cluster.find_free_ports(1) == [9_002]


def test_no_free_port_is_raised_when_all_are_allocated(monkeypatch):
    monkeypatch.setattr(cluster, '_claim_blocks', lambda: ())
    monkeypatch.setattr(cluster, '_port_numbers', cluster._iterate_ports())
    with pytest.raises(errors.NoFreePort):
        cluster.find_free_ports(1)
