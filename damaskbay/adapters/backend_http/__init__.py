"""Adapter to the local backend server by `http.client`."""
