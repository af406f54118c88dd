"""Builders of raw settings for tests."""


def raw(**fields):
    """Return the smallest valid settings, with some fields changed."""
    return {
        'name': 'edge-1',
        'ip': '10.0.0.1',
        'data_centre': 'a',
        'callers_listen': '10.0.0.1:80',
        'ready_listen': '10.0.0.1:81',
        'inner_port': 7000,
        'store_address': '10.0.0.2:90',
        **fields,
    }
