"""Counters, histograms and log lines."""

import json
import socket

import statsd

from arbutuschute import logs
from arbutuschute import metrics
from arbutuschute import settings


def test_counts_are_sent_to_statsd_once():
    with socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as server:
        server.bind(('127.0.0.1', 0))
        server.settimeout(5)
        client = statsd.StatsClient('127.0.0.1', server.getsockname()[1])
        counted = metrics.Metrics(client)
        counted.count('requests')
        counted.count('requests', 2)
        counted.flush()
        assert server.recv(1000) == b'requests:3|c'
        counted.flush()
        counted.count('answers')
        counted.flush()
        assert server.recv(1000) == b'answers:1|c'


def test_histograms_are_kept_for_each_organisation_and_class():
    counted = metrics.Metrics(None)
    for waited_ms in range(1, 101):
        counted.observe('total_ms.organisation', 'a', waited_ms)
    counted.observe('total_ms.class', 'tag', 10**9)
    found = counted.summarize()
    assert found['total_ms.organisation.a']['count'] == 100
    assert found['total_ms.organisation.a']['p50'] == 50
    assert found['total_ms.class.tag']['count'] == 1


def test_log_lines_are_json_with_their_fields(capsys):
    log = logs.make_logger(settings.Logging(), instance='r1')
    log.info('leaving', in_flight=3)
    line = json.loads(capsys.readouterr().err)
    assert line['event'] == 'leaving'
    assert (line['instance'], line['in_flight']) == ('r1', 3)


def test_log_lines_for_people_name_their_fields(capsys):
    chosen = settings.Logging(format='people')
    logs.make_logger(chosen, instance='r1').info('leaving', in_flight=3)
    assert 'leaving instance=r1 in_flight=3' in capsys.readouterr().err
