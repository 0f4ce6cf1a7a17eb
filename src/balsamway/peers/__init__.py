"""Messages between the entry hosts, over streams of msgpack."""
