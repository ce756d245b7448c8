// The operator file: settings in addition to the platform's configuration. Named by `heathward --operator
// FILE`; read again on SIGHUP. Every setting here has its default value and may be left out. `heathward check
// CONFIG FILE` checks whether the file is valid.
{
  log: {
    // 'text' or 'json'
    format: 'text',
    // A level, and levels of individual targets: 'info,heathward_core=debug'
    filter: 'info',
  },

  // The NVMe front: null turns it off; `import 'nvme.json'` turns it on with that map. Only read at startup.
  nvme: null,

  // The event log, for reports and the console: null turns it off. For a folder on a persistent disk:
  // { folder: '/var/lib/heathward/records', segmentMb: 16, segmentSeconds: 600, totalMb: 512,
  //   waiting: 8192,      // maximum number of events that wait for the disk; more are dropped and counted
  //   requests: false }   // whether each request is recorded with its attempts: 100 to 200 bytes each
  records: null,
}
