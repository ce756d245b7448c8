// Discovery is down for longer than a list that nothing is heard of is gone by; half of the hosts start in it.
{ seed: 4, seconds: 15, hosts: 12, nodes: 8, rate: 6,
  faults: [
    { at: 2, until: 12, do: 'lists_down' },
    { at: 4, until: 5, do: 'kill', hosts: std.range(0, 5) },
    // Told once discovery is back.
    { at: 8, until: 14, do: 'replace', nodes: [1] },
  ] }
