"""HTTP/1.1 on asyncio for callers, the backend server and the platform."""
