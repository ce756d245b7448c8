// Many schedulers before one node, asked for eight times what it bears cold: it is replaced by a cold one, and
// a third of the schedulers start anew while it warms.
{ seed: 11, seconds: 5, hosts: 30, nodes: 1, rate: 27, writes: 0.2,
  faults: [
    { at: 1, until: 1.6, do: 'replace' },
    { at: 2.4, until: 2.9, do: 'kill', hosts: std.range(0, 6) },
  ] }
