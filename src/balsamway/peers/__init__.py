"""Messages between entry hosts, sent as msgpack over TCP streams."""
