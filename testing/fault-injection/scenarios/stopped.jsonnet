// A third stand still for 5 s, in their service and over a drain, and go on.
{ seed: 6, seconds: 12, hosts: 12, nodes: 8, rate: 6,
  faults: [{ at: 3, until: 8, do: 'stop', hosts: std.range(0, 3) }, { at: 4, until: 10, do: 'replace', nodes: [4] }] }
