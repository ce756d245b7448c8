// Seven in ten are killed in service, and start again together.
{ seed: 2, seconds: 9, hosts: 20, nodes: 8, rate: 6, writes: 0.3,
  faults: [{ at: 3, until: 4.5, do: 'kill', hosts: std.range(0, 13) }] }
