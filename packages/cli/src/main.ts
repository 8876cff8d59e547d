import { createProcessIo } from './io.ts';
import { runCli } from './run.ts';

// No top-level await: the bundle of the binary is a CommonJS script.
void runCli(process.argv.slice(2), createProcessIo()).then((exitCode) => {
  process.exitCode = exitCode;
});
