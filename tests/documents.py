"""Profiles and organisations for tests."""

import hashlib

KEY = 'test-key'


def make_organisation(name='ventilex', key=KEY, **more):
    key_hash = hashlib.sha256(key.encode()).hexdigest()
    return {'name': name, 'key_hash': key_hash, **more}


def make_profile(name='reports', versions=('rapport:1',), **more):
    listed = [
        {'model': v.split(':')[0], 'version': v.split(':')[1], 'cost': 1.0}
        for v in versions
    ]
    return {
        'name': name,
        'organisations': ['ventilex'],
        'versions': listed,
        **more,
    }


def make_booking(name='visits', service='booking', **more):
    return {
        'name': name,
        'organisations': ['ventilex'],
        'service': service,
        'service_cost': 0.05,
        'idempotent': False,
        **more,
    }
