import { runDaemon } from '../src/run.ts';

// Runs a daemon as a process of its own for tests that need its exit code.
void runDaemon(process.argv[2] ?? '').then((code) => process.exit(code));
