// The operator file: what our installations set beside the platform's configuration. Named by
// `heathward --operator FILE`; read again on SIGHUP. Everything here is at its default, and may be left out.
// `heathward check CONFIG FILE` says whether it would be taken.
{
  log: {
    // 'text' or 'json'
    format: 'text',
    // A level, and levels of single targets: 'info,heathward_core=debug'
    filter: 'info',
  },

  // The NVMe front: null is off; `import 'nvme.json'` turns it on as that file says. Stays as at the start.
  nvme: null,

  // Records for reports and the console: null keeps none. For a folder on a lasting disk:
  // { folder: '/var/lib/heathward/records', segmentMb: 16, segmentSeconds: 600, totalMb: 512,
  //   waiting: 8192,      // events that wait for the disk at most; what is more is dropped and counted
  //   requests: false }   // whether each request is recorded with its attempts: a hundred bytes or two each
  records: null,
}
