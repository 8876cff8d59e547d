import { createProcessIo } from './io.ts';
import { runCli } from './run.ts';

// No top-level await: the binary contains a CommonJS bundle.
void runCli(process.argv.slice(2), createProcessIo()).then((exitCode) => {
  process.exitCode = exitCode;
});
