"""The platform's key-value service over HTTP."""
