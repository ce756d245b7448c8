// All ask one service for lists, which has room for twenty calls a second, and start at once.
{ seed: 8, seconds: 9, hosts: 40, nodes: 6, rate: 2, service_ms: 50 }
