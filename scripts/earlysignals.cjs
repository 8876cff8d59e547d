// SIGHUP requests a reload. It may arrive before the program has loaded, when the default action
// would terminate the process.
process.on('SIGHUP', () => {});
