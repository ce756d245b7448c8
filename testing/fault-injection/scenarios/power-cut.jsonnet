// Everything comes back at once: schedulers and nodes, all cold.
{ seed: 1, seconds: 8, hosts: 16, nodes: 8, rate: 8, writes: 0.3, cold: true }
