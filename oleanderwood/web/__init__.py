"""HTTP/1.1 over curio and h11, on both sides."""
