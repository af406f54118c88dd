"""Fleet capacity and maintenance manager."""

__version__ = '0.2.0'
