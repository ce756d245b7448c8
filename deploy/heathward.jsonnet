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
}
