// A fleet of three hundred: seven in ten are killed while discovery is down, and start again with it.
{ seed: 9, seconds: 20, hosts: 300, nodes: 12, rate: 0.6, writes: 0.3,
  faults: [
    { at: 6, until: 14, do: 'lists_down' },
    { at: 8, until: 9.5, do: 'kill', hosts: std.range(0, 209) },
    { at: 12, until: 18, do: 'replace', nodes: [1] },
  ] }
