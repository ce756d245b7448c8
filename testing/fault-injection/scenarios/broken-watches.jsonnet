// All watches fall silent, and right after it nodes drain: what hosts do not hear counts as told.
{ seed: 5, seconds: 11, hosts: 12, nodes: 8, rate: 8,
  faults: [{ at: 3, do: 'break_watches' }, { at: 3.1, until: 9, do: 'replace', nodes: [0, 3] }] }
