"""Distribute model weights in bursts, and admit all calls to the backend servers."""

__all__ = ('__version__',)

__version__ = '0.1.0'
