// A third of the hosts is cut off from half of the nodes, once in both directions and once in one; then resets.
// 2.3 s follow in which 166 requests are expected, so that a loaded machine asks enough of them, too.
{ seed: 7, seconds: 13, hosts: 12, nodes: 8, rate: 6, writes: 0.3,
  faults: [
    { at: 2, until: 4, do: 'silent', hosts: std.range(0, 3), nodes: std.range(0, 3) },
    { at: 5, until: 6.5, do: 'hold', hosts: std.range(4, 7), nodes: std.range(0, 3) },
    { at: 7.5, do: 'reset' },
    { at: 8, until: 9, do: 'refuse', nodes: [5] },
    { at: 8, until: 10, do: 'late', ms: 150, nodes: [6] },
  ] }
