// A reload may be asked for before the program has loaded; the default action would end the process.
process.on('SIGHUP', () => {});
