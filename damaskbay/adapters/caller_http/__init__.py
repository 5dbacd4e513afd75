"""HTTP listener for callers, a WSGI application served by `waitress`."""
