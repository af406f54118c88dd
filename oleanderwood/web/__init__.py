"""HTTP/1.1 over curio and h11, client and server."""
