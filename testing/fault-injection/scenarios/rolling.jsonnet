// A rolling restart in tenths, by SIGTERM, while a node is replaced.
{ seed: 3, seconds: 14, hosts: 12, nodes: 8, rate: 6, writes: 0.3,
  faults: [{ at: 2 + 3 * step, until: 4.5 + 3 * step, do: 'restart', hosts: std.range(4 * step, 4 * step + 3) }
           for step in std.range(0, 2)]
          + [{ at: 3, until: 6, do: 'replace', nodes: [2] }] }
