"""mallowquay: the gatekeeper that carries out the decisions of quincestand on real sockets."""
